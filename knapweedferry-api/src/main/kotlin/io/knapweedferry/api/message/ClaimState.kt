package io.knapweedferry.api.message

/** What a sidecar knows of a claim. */
public enum class ClaimState {
    /** Dispatched and answered; the answer is kept. */
    DONE,

    /** Dispatched and not yet answered. */
    IN_PROGRESS,

    /** Dispatched, and it is not known whether the service took it. */
    UNKNOWN,

    /** Never dispatched; marked refused and a void is in the log, so that the key may be claimed anew. */
    VOIDED,

    /** Marked refused, but the void could not be appended yet; ask again. */
    REFUSED,

    /** The claim names another incarnation, of which this one knows nothing. */
    OTHER_INCARNATION,
}
