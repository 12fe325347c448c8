package io.knapweedferry.routing.upstream

import java.io.IOException

/** An endpoint sent too many bytes without progress of the response. */
internal class ResponseLimitException(
    message: String,
) : IOException(message)
