package io.knapweedferry.telemetry

/** Why data of an endpoint belongs to no request that waits for it; value of the metric label `kind`. */
public enum class SurplusKind {
    /** No request was waiting on the connection. */
    UNREQUESTED,

    /** The response ends with its connection, so the response that is waited for cannot follow it. */
    UNDELIMITED,

    /** The response names another request. */
    OTHER_REQUEST,

    /** The response names no request and may be a copy of an earlier one on its connection. */
    UNNAMED,

    /** The body of a response contains the head of another one. */
    EMBEDDED,

    /** The response to a request of the entry's own says what only an earlier one can have said. */
    REPEATED,
}
