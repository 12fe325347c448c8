package io.knapweedferry.config.intent

import io.knapweedferry.config.state.ConfigState

/** Computes the changes between two configurations, ordered by element type and then by name. */
internal object ConfigDiff {
    fun between(
        before: ConfigState,
        after: ConfigState,
    ): List<Change> =
        diff(before.models, after.models, { it.value }, Change::Model) +
            diff(before.services, after.services, { it.value }, Change::Service) +
            diff(before.work, after.work, { it.value }, Change::Work) +
            diff(before.ranks, after.ranks, { it.name }, Change::RankTarget) +
            diff(before.organisations, after.organisations, { it.value }, Change::Organisation) +
            diff(before.endpoints, after.endpoints, { it.value }, Change::Endpoint)

    private fun <K, V> diff(
        before: Map<K, V>,
        after: Map<K, V>,
        name: (K) -> String,
        change: (K, V?, V?) -> Change,
    ): List<Change> =
        (before.keys + after.keys)
            .filter { before[it] != after[it] }
            .sortedBy(name)
            .map { change(it, before[it], after[it]) }
}
