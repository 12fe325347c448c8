package io.knapweedferry.policy.admission

/** Why [CostPlanner] refuses a request. */
public enum class RefusalCause {
    /** The response would be of no use to the caller even if an engine were free now. */
    EXPIRED,

    /** More valuable requests take all capacity until the caller gives up. */
    OUTRANKED,

    /** Requests of the same value need less work, or have waited longer, and take the capacity until the caller gives up. */
    OUTWEIGHED,
}
