package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Rank.BACKGROUND
import io.knapweedferry.api.Rank.STANDARD
import io.knapweedferry.api.Rank.URGENT
import io.knapweedferry.api.RefusalReason
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against wrong single decisions of the gate: order, floors, refusals, eviction and preemption. */
internal class RankedGateSpec {
    private var nextId = 0

    @Test
    fun `urgent work overtakes queued work of lower ranks`() {
        val gate = gate(slots = 1)
        gate.submit(ticket("a", BACKGROUND), 0)
        listOf(ticket("b", BACKGROUND), ticket("s", STANDARD), ticket("u", URGENT)).forEach { gate.submit(it, 0) }
        assertEquals(listOf("u", "s", "b"), listOf("a", "u", "s").flatMap { gate.release(TicketId(it), 1).names() })
    }

    @Test
    fun `a flood of one organisation does not delay another of the same rank`() {
        val gate = gate(slots = 1)
        repeat(6) { gate.submit(ticket("flood$it", STANDARD, organisation = "big"), 0) }
        gate.submit(ticket("small", STANDARD, organisation = "small"), 0)
        assertEquals(listOf("flood1"), gate.release(TicketId("flood0"), 1).names())
        assertEquals(listOf("small"), gate.release(TicketId("flood1"), 2).names())
    }

    @Test
    fun `a lower rank below its floor overtakes urgent work, but only up to the floor`() {
        val gate = gate(slots = 10, floors = mapOf(BACKGROUND to 20))
        repeat(10) { gate.submit(ticket("u$it", URGENT), 0) }
        repeat(4) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        repeat(4) { gate.submit(ticket("v$it", URGENT), 0) }
        assertEquals(listOf("b0", "b1", "v0", "v1"), (0..3).flatMap { gate.release(TicketId("u$it"), 0).names() })
    }

    @Test
    fun `a floor smaller than one slot is met over time`() {
        val gate = gate(slots = 1, floors = mapOf(BACKGROUND to 10))
        repeat(10) { gate.observeServiceMs(100.0) }
        var running = ticket("first", URGENT).also { gate.submit(it, 0) }.id
        val granted = mutableListOf<Rank>()
        repeat(4) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        for (turn in 1..30) {
            gate.submit(ticket("u$turn", URGENT), turn * 100L)
            running = gate.release(running, turn * 100L).granted.single()
            granted += if (running.value.startsWith("b")) BACKGROUND else URGENT
        }
        assertEquals(3, granted.count { it == BACKGROUND }, "30 grants at a floor of 10 percent")
    }

    @Test
    fun `a large ticket is overtaken by a bounded number of small ones`() {
        val gate = gate(slots = 20, kvBlocks = 20)
        val running = ArrayDeque((0 until 20).map { TicketId("s$it") })
        running.forEach { gate.submit(ticket(it.value, STANDARD), 0) }
        gate.submit(ticket("large", STANDARD, kvBlocks = 15, organisation = "other"), 0)
        var passed = 0
        while (true) {
            gate.submit(ticket("n$passed", STANDARD), 1)
            val granted = gate.release(running.removeFirst(), 1).granted
            if (TicketId("large") in granted) break
            running += granted
            passed += granted.size
        }
        assertTrue(passed in 1..30, "passed by $passed small tickets")
    }

    @Test
    fun `lower ranks use memory that a blocked urgent ticket cannot use, without delaying it`() {
        val gate = gate(slots = 20, kvBlocks = 100)
        gate.submit(ticket("held", STANDARD, kvBlocks = 60), 0)
        gate.submit(ticket("u", URGENT, kvBlocks = 70), 0)
        assertEquals(listOf("b"), gate.submit(ticket("b", BACKGROUND, kvBlocks = 30), 0).names())
        assertEquals(emptyList<String>(), gate.submit(ticket("c", BACKGROUND, kvBlocks = 5), 0).names())
        assertEquals(listOf("u"), gate.release(TicketId("held"), 1).names())
    }

    @Test
    fun `work that cannot start in time is refused on arrival, with a time to retry`() {
        val gate = gate(slots = 2)
        repeat(10) { gate.observeServiceMs(1_000.0) }
        repeat(4) { gate.submit(ticket("h$it", STANDARD), 0) }
        val refusal = gate.submit(ticket("late", STANDARD, grantDeadlineMs = 1_000), 0).refused.getValue(TicketId("late"))
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertEquals(250, refusal.retryAfterMs, "2.5 tickets ahead at 2 per second, minus 1 s to the deadline")
        assertTrue(gate.submit(ticket("patient", STANDARD, grantDeadlineMs = 1_300), 0).refused.isEmpty())
        assertEquals(RefusalReason.DEADLINE, gate.expire(1_300).refused[TicketId("patient")]?.reason)
        val arrivedLate = gate.submit(ticket("past", STANDARD, grantDeadlineMs = 1_500), 1_501)
        assertEquals(RefusalReason.DEADLINE, arrivedLate.refused[TicketId("past")]?.reason)
    }

    @Test
    fun `a more urgent arrival evicts the least urgent ticket of a full queue`() {
        val gate = gate(slots = 1, queueLimit = 2)
        gate.submit(ticket("held", URGENT), 0)
        gate.submit(ticket("b", BACKGROUND), 0)
        gate.submit(ticket("s", STANDARD), 0)
        val cases =
            listOf(
                ticket("u", URGENT) to "b",
                ticket("v", URGENT) to "s",
                ticket("w", URGENT) to "w",
                ticket("c", BACKGROUND) to "c",
            )
        for ((arrival, evicted) in cases) {
            val refused = gate.submit(arrival, 0).refused
            assertEquals(setOf(TicketId(evicted)), refused.keys)
            assertEquals(RefusalReason.QUEUE_FULL, refused.values.single().reason)
        }
    }

    @Test
    fun `an urgent flood does not evict a lower rank from its share of the queue`() {
        val gate = gate(slots = 1, queueLimit = 20, floors = mapOf(BACKGROUND to 10))
        gate.submit(ticket("held", URGENT), 0)
        repeat(5) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        repeat(50) { gate.submit(ticket("u$it", URGENT), 0) }
        assertEquals(2, gate.load(0).queuedBackground)
    }

    @Test
    fun `urgent work about to miss its deadline preempts the newest tickets of the lowest rank down to its floor`() {
        val gate = gate(slots = 5, floors = mapOf(BACKGROUND to 40))
        repeat(10) { gate.observeServiceMs(10_000.0) }
        repeat(4) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        gate.submit(ticket("s", STANDARD), 0)
        assertEquals(listOf("b3"), gate.submit(ticket("u0", URGENT, grantDeadlineMs = 500), 0).preemptedNames())
        assertEquals(emptyList<String>(), gate.expire(1).preemptedNames(), "the same ticket must not preempt a second one")
        assertEquals(listOf("b2"), gate.submit(ticket("u1", URGENT, grantDeadlineMs = 500), 2).preemptedNames())
        val refused = gate.submit(ticket("u2", URGENT, grantDeadlineMs = 500), 3)
        assertEquals(emptyList<String>(), refused.preemptedNames(), "two of five slots are the floor")
        assertEquals(RefusalReason.OVERLOADED, refused.refused[TicketId("u2")]?.reason)
        assertEquals(listOf("u0"), gate.release(TicketId("b3"), 4).names())
        assertEquals(listOf("u1"), gate.release(TicketId("b2"), 4).names())
    }

    @Test
    fun `a floor below one slot does not block urgent work, and a ticket granted by the floor is not preempted`() {
        val gate = gate(slots = 1, floors = mapOf(BACKGROUND to 10))
        repeat(10) { gate.observeServiceMs(1_000.0) }
        repeat(3) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        assertEquals(listOf("b0"), gate.submit(ticket("u0", URGENT, grantDeadlineMs = 300), 0).preemptedNames())
        assertEquals(listOf("u0"), gate.release(TicketId("b0"), 10).names())
        assertEquals(listOf("b1"), gate.release(TicketId("u0"), 10_000).names(), "ten service times at a floor of a tenth earn one ticket")
        assertEquals(emptyList<String>(), gate.submit(ticket("u1", URGENT, grantDeadlineMs = 10_300), 10_000).preemptedNames())
    }

    @Test
    fun `preemption exempts small tickets when a larger one suffices`() {
        val gate = gate(slots = 10, kvBlocks = 12)
        repeat(10) { gate.observeServiceMs(10_000.0) }
        listOf(2, 8, 1, 1).forEachIndexed { index, kvBlocks -> gate.submit(ticket("b$index", BACKGROUND, kvBlocks), 0) }
        assertEquals(listOf("b1"), gate.submit(ticket("u", URGENT, kvBlocks = 8, grantDeadlineMs = 100), 0).preemptedNames())
    }

    @Test
    fun `preemption is reconsidered as the deadline approaches`() {
        val gate = gate(slots = 2)
        repeat(10) { gate.observeServiceMs(200.0) }
        repeat(2) { gate.submit(ticket("b$it", BACKGROUND), 0) }
        assertFalse(gate.submit(ticket("u", URGENT, grantDeadlineMs = 500), 0).preemptedNames().isNotEmpty())
        assertEquals(400, gate.nextDeadlineMs(), "the deadline minus 50 ms of estimated wait and 50 ms of preemption lead")
        assertEquals(listOf("b1"), gate.expire(400).preemptedNames())
    }

    @Test
    fun `the concurrency limit decreases above the inter-token target and increases slowly`() {
        val gate = gate(slots = 20, interTokenTargetMs = 25.0)
        repeat(20) { gate.submit(ticket("h$it", STANDARD), 0) }
        repeat(16 * 20) { gate.observeInterTokenMs(40.0) }
        repeat(16 * 20) { gate.observeInterTokenMs(40.0) }
        gate.submit(ticket("waiting", STANDARD), 0)
        val released = (0 until 20).takeWhile { gate.release(TicketId("h$it"), 1).granted.isEmpty() }.size
        assertEquals(8, released, "20 * 25 / 40 rounds down to 12, and tokens of the former batch size do not decrease it again")
        gate.submit(ticket("next", STANDARD), 2)
        repeat(16 * 12 * 3) { gate.observeInterTokenMs(15.0) }
        assertTrue(gate.expire(3).granted.isEmpty())
        repeat(16 * 12) { gate.observeInterTokenMs(15.0) }
        assertEquals(listOf("next"), gate.expire(3).names())
        assertEquals(0, gate.load(3).freeSlots)
    }

    private fun gate(
        slots: Int,
        kvBlocks: Int = 100,
        queueLimit: Int = 100,
        floors: Map<Rank, Int> = emptyMap(),
        interTokenTargetMs: Double? = null,
    ) = RankedGate(GateLimits(slots, kvBlocks, queueLimit), RankedGateSettings(floors, interTokenTargetMs))

    private fun ticket(
        name: String = "t${nextId++}",
        rank: Rank,
        kvBlocks: Int = 1,
        grantDeadlineMs: Long = 1_000_000,
        organisation: String = "o",
    ) = Ticket(TicketId(name), OrganisationId(organisation), rank, kvBlocks, grantDeadlineMs)

    private fun GateDecisions.names() = granted.map { it.value }

    private fun GateDecisions.preemptedNames() = preempted.map { it.value }
}
