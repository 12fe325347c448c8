package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId
import io.netty.handler.codec.http.HttpHeaders

/** Maps between the types of this module and the HTTP headers and control requests of one deployment. */
public interface UpstreamProtocol {
    /** Name of the header that carries the id of a request. */
    public val requestIdHeader: String

    /** Names of headers, in lower case, that only endpoints set; within a body they show the head of another response. */
    public val endpointHeaders: Set<String>

    /** Reads the traits of a request; malformed headers are treated as absent. */
    public fun readTraits(headers: HttpHeaders): CallTraits

    /** End-to-end headers of [call] for an endpoint. Headers that only the entry may set are taken from [terms]. */
    public fun endpointHeaders(
        call: CallRequest,
        terms: AttemptTerms,
    ): HttpHeaders

    /** End-to-end headers of an endpoint's response for the caller. */
    public fun callerHeaders(headers: HttpHeaders): HttpHeaders

    /** True only if the endpoint confirms that it did not and will not run the request. */
    public fun provesNotRun(
        status: Int,
        headers: HttpHeaders,
    ): Boolean

    /** True if another endpoint has taken over the address. */
    public fun isWrongEndpoint(
        status: Int,
        headers: HttpHeaders,
    ): Boolean

    /** What a response, also an interim one, says about its endpoint. */
    public fun readNotice(
        status: Int,
        headers: HttpHeaders,
    ): EndpointNotice

    /** True if the response carries the signature of an endpoint. */
    public fun isSigned(headers: HttpHeaders): Boolean

    /** Id of the request that a response belongs to; null if the response does not name it. */
    public fun answeredRequestId(headers: HttpHeaders): String?

    /** Handle of the KV cache that a prefill left at its endpoint; null if [body] is malformed. */
    public fun readKvHandle(body: ByteArray): String?

    /** Request that reserves a slot and [tokens] of KV cache at the engine [endpoint] for [ttlMs]. */
    public fun reserve(
        endpoint: EndpointId,
        tokens: Int,
        ttlMs: Long,
    ): ControlRequest

    /** Id of the reservation that an engine granted; null if [body] is malformed. */
    public fun readReservation(body: ByteArray): String?

    /** Request that releases a reservation. */
    public fun releaseReservation(reservation: String): ControlRequest

    /** Request that orders an engine to change its stage. */
    public fun orderStage(order: StageOrder): ControlRequest
}
