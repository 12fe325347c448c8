package io.knapweedferry.routing.upstream

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Request as it is written to an endpoint. */
internal class OutboundRequest(
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** Id that the answer has to carry; null if answers carry none. */
    val requestId: String?,
)
