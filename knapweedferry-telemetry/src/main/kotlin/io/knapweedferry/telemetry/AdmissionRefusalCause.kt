package io.knapweedferry.telemetry

/** Why admission by cost refused a request; value of the metric label `cause`. */
public enum class AdmissionRefusalCause {
    /** The response would be of no use to the caller even if an engine were free. */
    EXPIRED,

    /** Engines grant too little for this request even if it were the next one. */
    NO_CAPACITY,

    /** Other requests are worth more, and leave no capacity before the caller gives up. */
    OUTWEIGHED,
}
