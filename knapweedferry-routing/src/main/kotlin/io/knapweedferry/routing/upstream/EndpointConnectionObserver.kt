package io.knapweedferry.routing.upstream

import io.netty.handler.codec.http.HttpResponse

/** Receives events of connections to endpoints, on the event loop. */
internal interface EndpointConnectionObserver {
    /** The head of a response to the pending request has arrived, possibly an interim one. */
    fun onHead(
        connection: EndpointConnection,
        response: HttpResponse,
    )

    /** The endpoint sent data that belongs to no waiting request. */
    fun onSurplus(
        connection: EndpointConnection,
        surplus: SurplusResponse,
    )

    /** The endpoint responded to a request of the entry's own that had been given a copy of an earlier response. */
    fun onUnclaimed(response: UnclaimedResponse)

    /** The response is complete and the connection may carry another request. */
    fun onReusable(connection: EndpointConnection)

    fun onClosed(connection: EndpointConnection)

    /** True if the endpoint of [connection] has sent responses more than once lately. */
    fun hasRepeatedResponses(connection: EndpointConnection): Boolean
}
