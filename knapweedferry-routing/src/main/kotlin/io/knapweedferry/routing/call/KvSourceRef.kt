package io.knapweedferry.routing.call

import java.net.InetSocketAddress

/** Reference to a KV cache that an endpoint keeps until it has been fetched once. */
public data class KvSourceRef(
    val address: InetSocketAddress,
    val handle: String,
)
