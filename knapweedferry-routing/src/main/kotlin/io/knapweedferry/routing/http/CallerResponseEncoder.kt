package io.knapweedferry.routing.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses to callers. A body behind a [HeadResponse] would be taken for the start of the next response. */
internal class CallerResponseEncoder : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean = response is HeadResponse || super.isContentAlwaysEmpty(response)
}
