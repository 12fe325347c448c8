package io.knapweedferry.routing.upstream

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Request in the form that is written to an endpoint. */
internal class OutboundRequest(
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** Id of the request; a response that carries another id is skipped. */
    val requestId: String?,
    /**
     * True for a request of the entry's own, whose responses bear no id. Its reader checks what the response says and then calls
     * [EndpointConnection.release].
     */
    val isControl: Boolean = false,
)
