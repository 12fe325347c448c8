package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.policy.admission.RankedGateSettings

/** Derives the settings of an admission gate from the rank policies of a configuration. */
internal object RankedGateSettingsFactory {
    /** For token streams. All streams of a batch advance together, so the strictest inter-token target applies to the batch. */
    fun forStreams(ranks: Map<Rank, RankPolicy>): RankedGateSettings =
        forUnaryCalls(ranks).copy(interTokenTargetMs = ranks.values.minOfOrNull { it.interTokenTargetMs }?.toDouble())

    /** For prefills and service calls, which have a single reply and thus no inter-token target. */
    fun forUnaryCalls(ranks: Map<Rank, RankPolicy>): RankedGateSettings =
        RankedGateSettings(floorPercent = ranks.mapValues { it.value.floorPercent })
}
