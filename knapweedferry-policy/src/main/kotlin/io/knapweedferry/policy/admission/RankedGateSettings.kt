package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Configuration of a [RankedGate]. */
public data class RankedGateSettings(
    /**
     * Floor of each lower rank: the percentage of capacity guaranteed to it while more urgent work is queued. A rank
     * without an entry has no guarantee.
     */
    val floorPercent: Map<Rank, Int> = emptyMap(),
    /** Upper target for the mean inter-token time, or null for endpoints that do not stream tokens. */
    val interTokenTargetMs: Double? = null,
    /** Time from the preemption of a ticket until its capacity is free. */
    val preemptionLeadMs: Long = DEFAULT_PREEMPTION_LEAD_MS,
) {
    init {
        require(floorPercent.values.all { it in 0..MAX_PERCENT }) { "each floor must be a percentage from 0 to 100" }
        require(floorPercent.filterKeys { it != Rank.URGENT }.values.sum() <= MAX_PERCENT) {
            "the floors of the lower ranks must not add up to more than 100 percent"
        }
    }

    public companion object {
        /** Preempting a stream takes one engine call, some tens of milliseconds under load. */
        public const val DEFAULT_PREEMPTION_LEAD_MS: Long = 50
        private const val MAX_PERCENT = 100
    }
}
