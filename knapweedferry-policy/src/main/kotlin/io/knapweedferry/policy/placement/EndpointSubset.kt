package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.policy.StableHash

/**
 * Chooses the endpoints that one entry talks to, by rendezvous hashing: each endpoint has a fixed position in the order of
 * each entry, so that one endpoint more or less changes at most one place of the subset, or two where the guarantee for an
 * availability zone moves.
 */
public class EndpointSubset(
    private val entry: ProcessId,
    private val size: Int,
    /** Endpoints of each availability zone that are taken first, as far as there are so many. */
    private val perZone: Int = DEFAULT_PER_ZONE,
) {
    /** Returns at most [size] of [endpoints], spanning their availability zones as far as [size] allows. */
    public fun select(endpoints: Map<EndpointId, AvailabilityZone>): Set<EndpointId> {
        if (endpoints.size <= size) return endpoints.keys.toSet()
        val ordered =
            endpoints.keys
                .associateBy { StableHash.of(entry.value, it.value) }
                .toSortedMap()
                .values
        val byZone = ordered.groupBy { endpoints.getValue(it) }.values
        // One of every availability zone comes before a second of any, for the case that the subset is small.
        val guaranteed = (0 until perZone).flatMap { round -> byZone.mapNotNull { it.getOrNull(round) } }.take(size)
        return (guaranteed + (ordered - guaranteed.toSet())).take(size).toSet()
    }

    public companion object {
        /** With two, the loss of an endpoint does not leave an entry without one in an availability zone. */
        public const val DEFAULT_PER_ZONE: Int = 2
    }
}
