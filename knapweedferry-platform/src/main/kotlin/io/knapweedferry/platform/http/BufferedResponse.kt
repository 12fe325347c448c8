package io.knapweedferry.platform.http

/** HTTP response with its complete body in memory. */
internal data class BufferedResponse(
    val status: Int,
    val contentType: String,
    val body: String,
)
