package io.knapweedferry.routing.http

import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Response to a HEAD request: no body is written, whatever its headers say. */
internal class HeadResponse(
    status: HttpResponseStatus,
) : DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
