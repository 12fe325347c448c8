package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId
import io.netty.handler.codec.http.HttpHeaders

/** Translates between this router and the headers that callers and endpoints of one deployment use. */
public interface CallDialect {
    /** Name of the header that carries the id of a request. */
    public val requestIdHeader: String

    /** Reads the traits of a request; what cannot be read counts as not given. */
    public fun readTraits(headers: HttpHeaders): CallTraits

    /** End-to-end headers of [call] for an endpoint, with those that only the router may set taken from [terms]. */
    public fun endpointHeaders(
        call: CallRequest,
        terms: AttemptTerms,
    ): HttpHeaders

    /** End-to-end headers of an endpoint's answer for the caller. */
    public fun callerHeaders(answer: HttpHeaders): HttpHeaders

    /** True only if the endpoint states that it did not run the request and never will. */
    public fun isNotRun(
        status: Int,
        answer: HttpHeaders,
    ): Boolean

    /** True if another endpoint has the address now. */
    public fun isWrongEndpoint(
        status: Int,
        answer: HttpHeaders,
    ): Boolean

    /** True if the answer proves that an endpoint produced it. */
    public fun isSigned(answer: HttpHeaders): Boolean

    /** Request that an answer belongs to, if the endpoint says so. */
    public fun answeredRequestId(answer: HttpHeaders): String?

    /** Name of the KV cache that a prefill left at its endpoint; null if the answer cannot be read. */
    public fun readKvHandle(body: ByteArray): String?

    /** Request that reserves a slot and [tokens] of KV cache at the engine [endpoint] for [ttlMs]. */
    public fun reserve(
        endpoint: EndpointId,
        tokens: Int,
        ttlMs: Long,
    ): ControlRequest

    /** Name of the reservation that an engine granted; null if the answer cannot be read. */
    public fun readReservation(body: ByteArray): String?

    /** Gives up a reservation that no request will use. */
    public fun releaseReservation(reservation: String): ControlRequest

    /** Request that carries an order. */
    public fun orderStage(order: StageOrder): ControlRequest
}
