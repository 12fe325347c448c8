package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Rules of a [RankedGate] that come from the configuration. */
public data class RankedGateSettings(
    /** Share of capacity that each lower rank keeps while more urgent work waits. A missing rank keeps nothing. */
    val floorPercent: Map<Rank, Int> = emptyMap(),
    /** Time between tokens that the batch must not exceed, or null for endpoints that stream no tokens. */
    val interTokenTargetMs: Double? = null,
    /** Time from naming a holder for preemption until its capacity is free. */
    val preemptionLeadMs: Long = DEFAULT_PREEMPTION_LEAD_MS,
) {
    init {
        require(floorPercent.values.all { it in 0..MAX_PERCENT }) { "each floor must be a percentage from 0 to 100" }
        require(floorPercent.filterKeys { it != Rank.URGENT }.values.sum() <= MAX_PERCENT) {
            "the floors of the lower ranks must not add up to more than 100 percent"
        }
    }

    public companion object {
        /** Pausing a stream costs one call to an engine, which takes some tens of milliseconds under load. */
        public const val DEFAULT_PREEMPTION_LEAD_MS: Long = 50
        private const val MAX_PERCENT = 100
    }
}
