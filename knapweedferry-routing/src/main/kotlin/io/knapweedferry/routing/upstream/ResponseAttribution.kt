package io.knapweedferry.routing.upstream

import io.knapweedferry.routing.call.UpstreamProtocol
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/**
 * Decides which response on a connection answers the request that was written last. Endpoints may send a surplus response late,
 * even one without an id, so on a connection that has carried a response before, only a response with the id of the request is
 * accepted. Confined to the event loop.
 */
internal class ResponseAttribution(
    private val protocol: UpstreamProtocol,
) {
    private var requestId: String? = null
    private var isControl = false
    private var isHead = false

    /** Number of responses that have arrived; a later one may be a copy of one of them. */
    var responses = 0
        private set

    fun onRequest(request: OutboundRequest) {
        requestId = request.requestId
        isControl = request.isControl
        isHead = request.method == HttpMethod.HEAD
    }

    fun onResponse() {
        responses++
    }

    /**
     * A response without an id can be attributed to the request only if it is the first one on the connection. Responses to
     * requests of the entry's own have none; their readers check what they say.
     */
    fun isForRequest(response: HttpResponse): Boolean {
        val answered = answeredRequestId(response) ?: return isControl || responses == 0
        return answered == requestId
    }

    fun answeredRequestId(response: HttpResponse): String? = protocol.answeredRequestId(response.headers())

    /** True if [response] has no body, whatever its headers say. */
    fun isBodyless(response: HttpResponse): Boolean = isHead && isForRequest(response)

    /**
     * True if the connection may carry another request after [response]. A repeated refusal could bear the id of a request that
     * is sent again, and a repeated response to a HEAD request could not be told from one with a body.
     */
    fun permitsReuseAfter(response: HttpResponse): Boolean {
        if (!HttpUtil.isKeepAlive(response) || isHead) return false
        if (isControl) return true
        return answeredRequestId(response) != null && !protocol.provesNotRun(response.status().code(), response.headers())
    }
}
