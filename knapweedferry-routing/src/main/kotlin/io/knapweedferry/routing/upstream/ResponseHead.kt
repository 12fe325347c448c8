package io.knapweedferry.routing.upstream

import io.netty.handler.codec.http.HttpHeaders

/** Status and headers of an endpoint's response. */
internal class ResponseHead(
    val status: Int,
    val headers: HttpHeaders,
)
