package io.knapweedferry.routing.upstream

import io.knapweedferry.routing.model.RoutedEndpoint

/** Response to a request of the entry's own that had been given a copy of an earlier response before. */
internal class UnclaimedResponse(
    val endpoint: RoutedEndpoint,
    val status: Int,
    val body: ByteArray,
)
