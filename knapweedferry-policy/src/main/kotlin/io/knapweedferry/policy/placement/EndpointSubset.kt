package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.policy.StableHash

/**
 * Selects the endpoints that one entry connects to, by rendezvous hashing. Each entry ranks all endpoints in its own stable
 * order, so adding or removing one endpoint changes at most one member of the subset, or two if it changes the members
 * reserved for an availability zone.
 */
public class EndpointSubset(
    private val entry: ProcessId,
    private val size: Int,
    /** Members reserved for each availability zone, if it has that many endpoints. */
    private val reservedPerZone: Int = DEFAULT_RESERVED_PER_ZONE,
) {
    /** Returns at most [size] of [endpoints], from as many availability zones as [size] allows. */
    public fun select(endpoints: Map<EndpointId, AvailabilityZone>): Set<EndpointId> {
        if (endpoints.size <= size) return endpoints.keys.toSet()
        val ordered =
            endpoints.keys
                .associateBy { StableHash.of(entry.value, it.value) }
                .toSortedMap()
                .values
        val byZone = ordered.groupBy { endpoints.getValue(it) }.values
        // One endpoint of each availability zone precedes the second of any, in case the subset is small.
        val zoneMembers = (0 until reservedPerZone).flatMap { round -> byZone.mapNotNull { it.getOrNull(round) } }.take(size)
        return (zoneMembers + (ordered - zoneMembers.toSet())).take(size).toSet()
    }

    public companion object {
        /** With two, an entry that loses an endpoint still has one in the same availability zone. */
        public const val DEFAULT_RESERVED_PER_ZONE: Int = 2
    }
}
