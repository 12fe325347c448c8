package io.knapweedferry.api.message

/** State of a claim at a sidecar. */
public enum class ClaimState {
    /** Dispatched and completed; the response is stored. */
    DONE,

    /** Dispatched but not yet completed. */
    IN_PROGRESS,

    /** Dispatched, but it is unknown whether the service executed the operation. */
    UNKNOWN,

    /** Never dispatched. The sidecar refuses the claim and appended a void record, so the key can be claimed again. */
    VOIDED,

    /** Never dispatched. The sidecar refuses the claim, but could not append the void record yet; query again. */
    REFUSED,

    /** The claim belongs to another incarnation of the sidecar, whose state is unknown to this one. */
    OTHER_INCARNATION,
}
