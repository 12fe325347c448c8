package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.policy.admission.RankedGateSettings

/** Rules of an admission gate, taken from the ranks of a configuration. */
internal object RankGateSettings {
    /** For work that streams tokens. All streams of a batch advance together, so the strictest target bounds the batch. */
    fun forStreams(ranks: Map<Rank, RankPolicy>): RankedGateSettings =
        forUnaryCalls(ranks).copy(interTokenTargetMs = ranks.values.minOfOrNull { it.interTokenTargetMs }?.toDouble())

    /** For prefills and service calls, which have no time between tokens. */
    fun forUnaryCalls(ranks: Map<Rank, RankPolicy>): RankedGateSettings =
        RankedGateSettings(floorPercent = ranks.mapValues { it.value.floorPercent })
}
