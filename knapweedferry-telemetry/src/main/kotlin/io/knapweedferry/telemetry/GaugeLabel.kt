package io.knapweedferry.telemetry

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Rank

/**
 * Labels allowed on a gauge. The set is closed to bound cardinality: labels such as request id or idempotency
 * key would grow the registry without limit.
 */
public sealed interface GaugeLabel {
    /** Rank of the requests that the gauge covers. */
    public data class ByRank(
        val rank: Rank,
    ) : GaugeLabel

    /** Endpoint of a sidecar, which has only a few. Do not use it in entries, where the set of endpoints changes over time. */
    public data class ByEndpoint(
        val endpoint: EndpointId,
    ) : GaugeLabel

    /** Organisation with a quota. Only for [QuotaMetrics], which bounds their number. */
    public data class ByOrganisation internal constructor(
        val organisation: String,
    ) : GaugeLabel
}
