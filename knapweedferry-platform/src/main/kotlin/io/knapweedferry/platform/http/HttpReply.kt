package io.knapweedferry.platform.http

/** Status and whole body of one HTTP exchange. */
internal data class HttpReply(
    val status: Int,
    val contentType: String,
    val body: String,
)
