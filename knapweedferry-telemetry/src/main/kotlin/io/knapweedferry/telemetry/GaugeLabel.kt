package io.knapweedferry.telemetry

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Rank

/**
 * Labels that a gauge may have. The set is closed so that no organisation, request id or key becomes a label, which would
 * grow the registry without bound.
 */
public sealed interface GaugeLabel {
    /** One of the ranks. */
    public data class ByRank(
        val rank: Rank,
    ) : GaugeLabel

    /** One of the few endpoints of a sidecar. Not for entries, whose subset changes. */
    public data class ByEndpoint(
        val endpoint: EndpointId,
    ) : GaugeLabel
}
