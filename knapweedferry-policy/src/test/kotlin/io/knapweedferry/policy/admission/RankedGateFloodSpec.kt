package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Guards against faults under a flood of requests of one rank: overcommitted or idle capacity, tickets that are lost or
 * decided twice, a rank that gets less than its floor, and urgent requests that a flood of background requests delays.
 * Runs a seeded simulation under virtual time.
 */
internal class RankedGateFloodSpec {
    @ParameterizedTest
    @CsvSource("URGENT,1", "URGENT,2", "STANDARD,3", "BACKGROUND,4", "BACKGROUND,5")
    fun `each rank keeps its floor and the flooding rank bears the overload`(
        flooding: Rank,
        seed: Int,
    ) {
        val run = Simulation(Random(seed), RankedGate(LIMITS, RankedGateSettings(FLOORS)), flooding).run()
        val slotMs = run.slotMs.values.sum()
        println("flood of $flooding, seed $seed: slot time ${run.slotMs}, in time ${Rank.entries.map { run.inTimeShare(it) }}")
        for ((rank, percent) in FLOORS) {
            val share = run.slotMs.getValue(rank) * 100.0 / slotMs
            assertTrue(rank == flooding || run.inTimeShare(rank) > 0.9 || share >= percent * 0.8, "$rank kept $share percent")
        }
        if (flooding != Rank.URGENT) {
            assertTrue(run.inTimeShare(Rank.URGENT) > 0.97, "urgent in time: ${run.inTimeShare(Rank.URGENT)}")
        }
    }

    @Test
    fun `more urgent requests are granted in time than by a first-come, first-served gate`() {
        val ranked = Simulation(Random(9), RankedGate(LIMITS, RankedGateSettings(FLOORS)), Rank.BACKGROUND).run()
        val fifo = Simulation(Random(9), FifoGate(LIMITS), Rank.BACKGROUND).run()
        println("urgent in time: ranked ${ranked.inTimeShare(Rank.URGENT)}, first come first served ${fifo.inTimeShare(Rank.URGENT)}")
        assertTrue(ranked.inTimeShare(Rank.URGENT) > fifo.inTimeShare(Rank.URGENT))
    }

    /**
     * Simulates arrivals at 0.7 of capacity, with one rank at five times its rate. Each ticket occupies its slot for 0.2 to
     * 1.8 s.
     */
    private class Simulation(
        private val random: Random,
        private val gate: AdmissionGate,
        private val flooding: Rank,
    ) {
        val slotMs = Rank.entries.associateWith { 0L }.toMutableMap()
        private val submitted = Rank.entries.associateWith { 0 }.toMutableMap()
        private val granted = Rank.entries.associateWith { 0 }.toMutableMap()
        private val open = HashMap<TicketId, Ticket>()
        private val running = HashMap<TicketId, Pair<Ticket, Long>>()
        private val ends = PriorityQueue<Pair<Long, TicketId>>(compareBy { it.first })
        private val nextArrivalMs = Rank.entries.associateWith { gapMs(it) }.toMutableMap()

        fun inTimeShare(rank: Rank): Double = granted.getValue(rank).toDouble() / submitted.getValue(rank)

        fun run(): Simulation {
            var nowMs = 0L
            while (nowMs < DURATION_MS) {
                val arrival = nextArrivalMs.minBy { it.value }
                val endMs = ends.peek()?.first ?: Long.MAX_VALUE
                val deadlineMs = maxOf(gate.nextDeadlineMs() ?: Long.MAX_VALUE, nowMs)
                nowMs = minOf(arrival.value, endMs, deadlineMs)
                when (nowMs) {
                    endMs -> finish(ends.poll().second, nowMs, observe = true)
                    deadlineMs -> apply(gate.expire(nowMs), nowMs)
                    else -> arrive(arrival.key, nowMs)
                }
                checkCapacity(nowMs)
            }
            return this
        }

        private fun arrive(
            rank: Rank,
            nowMs: Long,
        ) {
            nextArrivalMs[rank] = nowMs + gapMs(rank)
            val id = TicketId("$rank${submitted.getValue(rank)}")
            val ticket =
                Ticket(id, OrganisationId("o${random.nextInt(4)}"), rank, random.nextInt(1, 13), nowMs + MAX_WAIT_MS.getValue(rank))
            submitted.merge(rank, 1, Int::plus)
            open[id] = ticket
            apply(gate.submit(ticket, nowMs), nowMs)
        }

        private fun apply(
            decisions: GateDecisions,
            nowMs: Long,
        ) {
            for (id in decisions.granted) {
                val ticket = open.remove(id) ?: error("$id was granted or refused twice")
                assertTrue(nowMs <= ticket.grantDeadlineMs, "$ticket granted late at $nowMs")
                granted.merge(ticket.rank, 1, Int::plus)
                running[id] = ticket to nowMs
                ends += nowMs + random.nextLong(200, 1_800) to id
            }
            for (id in decisions.refused.keys) assertTrue(open.remove(id) != null, "$id was granted or refused twice")
            for (id in decisions.preempted) {
                assertEquals(Rank.BACKGROUND, running.getValue(id).first.rank)
                ends.removeIf { it.second == id }
                finish(id, nowMs, observe = false)
            }
        }

        private fun finish(
            id: TicketId,
            nowMs: Long,
            observe: Boolean,
        ) {
            val (ticket, sinceMs) = running.remove(id) ?: error("$id does not run")
            slotMs.merge(ticket.rank, nowMs - sinceMs, Long::plus)
            if (observe) gate.observeServiceMs((nowMs - sinceMs).toDouble())
            apply(gate.release(id, nowMs), nowMs)
        }

        private fun checkCapacity(nowMs: Long) {
            val usedKvBlocks = running.values.sumOf { it.first.kvBlocks }
            assertTrue(running.size <= LIMITS.slots && usedKvBlocks <= LIMITS.kvBlocks, "overcommitted at $nowMs")
            val idle = running.size < LIMITS.slots && usedKvBlocks + MAX_TICKET_KV_BLOCKS <= LIMITS.kvBlocks
            assertFalse(gate is RankedGate && idle && open.isNotEmpty(), "idle at $nowMs while ${open.size} tickets are queued")
        }

        private fun gapMs(rank: Rank): Long {
            val perSecond = ARRIVALS_PER_SECOND.getValue(rank) * if (rank == flooding) 5 else 1
            return (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond).toLong() + 1
        }
    }

    private companion object {
        const val DURATION_MS = 120_000L
        const val MAX_TICKET_KV_BLOCKS = 12
        val LIMITS = GateLimits(slots = 20, kvBlocks = 110, queueLimit = 64)
        val FLOORS = mapOf(Rank.STANDARD to 25, Rank.BACKGROUND to 8)
        val MAX_WAIT_MS = mapOf(Rank.URGENT to 500L, Rank.STANDARD to 1_500L, Rank.BACKGROUND to 6_000L)

        /** Memory suffices for about 17 tickets of mean size; the mean service time is 1 s. */
        val ARRIVALS_PER_SECOND = mapOf(Rank.URGENT to 3.0, Rank.STANDARD to 5.0, Rank.BACKGROUND to 4.0)
    }
}
