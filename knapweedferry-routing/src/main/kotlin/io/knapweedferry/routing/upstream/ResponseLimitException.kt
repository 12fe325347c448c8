package io.knapweedferry.routing.upstream

import java.io.IOException

/** An endpoint sends and does not come to the end of what it sends. */
internal class ResponseLimitException(
    message: String,
) : IOException(message)
