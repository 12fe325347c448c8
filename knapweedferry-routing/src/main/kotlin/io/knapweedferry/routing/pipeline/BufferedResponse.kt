package io.knapweedferry.routing.pipeline

import io.netty.handler.codec.http.HttpHeaders

/** Complete response of an endpoint. */
internal class BufferedResponse(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)
