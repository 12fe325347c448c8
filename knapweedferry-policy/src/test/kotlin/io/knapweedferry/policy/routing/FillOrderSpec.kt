package io.knapweedferry.policy.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against even spreading, which leaves no single engine with enough free capacity for a large request. */
internal class FillOrderSpec {
    private val ids = List(40) { "i-%08x".format(it * 7_919) }

    @Test
    fun `urgent and less urgent requests fill engines in opposite order`() {
        assertEquals(ids.sortedBy(FillOrder.FROM_FRONT::costMs), ids.sortedBy(FillOrder.FROM_BACK::costMs).reversed())
    }

    @Test
    fun `engines have distinct costs that span the range`() {
        val costs = ids.map(FillOrder.FROM_FRONT::costMs).sorted()
        assertTrue(costs.zipWithNext().all { (one, next) -> one < next })
        assertTrue(costs.first() < 20 && costs.last() > 80)
    }
}
