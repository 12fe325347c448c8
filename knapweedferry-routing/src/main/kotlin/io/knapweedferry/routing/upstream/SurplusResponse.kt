package io.knapweedferry.routing.upstream

import io.knapweedferry.telemetry.SurplusKind

/** Response, or other data, that an endpoint sent beyond the responses to its requests. */
internal class SurplusResponse(
    val kind: SurplusKind,
    /** Null if the data is not a response. */
    val status: Int?,
    /** Request that the response names. */
    val answeredRequestId: String?,
    /** Request that was waiting on the connection. */
    val pendingRequestId: String?,
    /** Tells the connections of an endpoint apart in the log. */
    val localPort: Int,
    /** Number of responses that the connection had carried before. */
    val earlierResponses: Int,
    /** Time since the last response on the connection ended; null if there was none. */
    val sinceLastResponseMs: Long?,
)
