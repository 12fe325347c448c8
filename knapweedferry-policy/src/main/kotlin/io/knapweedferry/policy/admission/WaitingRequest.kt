package io.knapweedferry.policy.admission

/** What [CostPlanner] knows of one request that waits for an engine. */
public data class WaitingRequest(
    /** Priority of the organisation, or of the route if there is none; 0 is the most urgent. */
    val priority: Int,
    /** Orders requests of equal [priority]. */
    val routePriority: Int,
    /** Longest wait after which the first event still meets its target; zero or less once the request is late. */
    val timeToTargetMs: Double,
    /** Longest wait after which the response is still of use to the caller. */
    val timeToAbandonMs: Double,
    /** Time since the request arrived. */
    val waitedMs: Double,
    /** KV cache that the run reserves. */
    val kvTokens: Int,
    /** Expected time from admission to the end of the run. */
    val runMs: Double,
    /** True if the caller has already received a part of the response. */
    val hasBegun: Boolean = false,
    /** True if the caller probably won't retry if this attempt is refused. */
    val isLastAttempt: Boolean = false,
) {
    /** KV cache multiplied by the time that the run holds it, in token-milliseconds. */
    val work: Double get() = maxOf(kvTokens, 1) * maxOf(runMs, 1.0)

    /**
     * How often the value of a response to the most urgent caller is halved for this one; negative for a stream that has begun. A
     * step of priority halves the value, and a late response keeps a quarter of it. A late first attempt counts half of that,
     * because its caller has a retry left; a last attempt is taken as late, because its target began with the first one.
     */
    val valueStep: Int
        get() =
            when {
                hasBegun -> BEGUN_STEP
                isLastAttempt -> priority + LATE_STEPS
                timeToTargetMs > 0 -> priority
                else -> priority + LATE_STEPS + RETRY_LEFT_STEPS
            }

    private companion object {
        const val BEGUN_STEP = -1

        /** Callers rate a response that misses its target at a tenth to a third of one that meets it. */
        const val LATE_STEPS = 2

        /** About half of the retries of refused callers are served under overload. */
        const val RETRY_LEFT_STEPS = 1
    }
}
