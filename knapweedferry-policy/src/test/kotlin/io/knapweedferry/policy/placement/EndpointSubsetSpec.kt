package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against subsets that change considerably with one endpoint, miss an availability zone or load endpoints unevenly.
 */
internal class EndpointSubsetSpec {
    private val endpoints = (0 until 600).associate { EndpointId("e$it") to AvailabilityZone("z${it % 11}") }
    private val subsets = (0 until 420).map { EndpointSubset(ProcessId("entry-$it"), size = 40) }

    @Test
    fun `removing an endpoint changes few members of each subset`() {
        val before = subsets.map { it.select(endpoints) }
        val without = subsets.map { it.select(endpoints - EndpointId("e7")) }
        val changes = before.zip(without) { old, new -> (new - old).size }
        println("places changed by the loss of one of 600 endpoints: at most ${changes.max()}, on average ${changes.average()}")
        assertTrue(changes.max() <= 2)
        assertTrue(changes.average() <= 2.0 * 40 / 600)
        val zone = endpoints.filterValues { it != AvailabilityZone("z3") }
        val zoneChanges = before.zip(subsets.map { it.select(zone) }) { old, new -> (new - old).size to (old - zone.keys).size }
        assertTrue(zoneChanges.all { (new, lost) -> new == lost }, "only members in the lost availability zone change")
    }

    @Test
    fun `each subset spans all availability zones and endpoints are selected evenly`() {
        val selected = subsets.map { it.select(endpoints) }
        assertTrue(
            selected.all { subset ->
                subset.groupingBy { endpoints.getValue(it) }.eachCount().let {
                    it.size == 11 &&
                        it.values.min() >= 2
                }
            },
        )
        assertEquals(setOf(40), selected.map { it.size }.toSet())
        val perEndpoint = selected.flatten().groupingBy { it }.eachCount()
        println("entries per endpoint: ${perEndpoint.values.min()} to ${perEndpoint.values.max()}, mean ${perEndpoint.values.average()}")
        assertTrue(perEndpoint.size == 600 && perEndpoint.values.max() <= 2 * 28)
    }

    @Test
    fun `fleets smaller than a subset and subsets smaller than the number of availability zones are supported`() {
        val few = endpoints.entries.take(5).associate { it.key to it.value }
        assertEquals(few.keys, subsets.first().select(few))
        val small = EndpointSubset(ProcessId("entry"), size = 3).select(endpoints)
        assertEquals(3, small.map { endpoints.getValue(it) }.toSet().size)
    }
}
