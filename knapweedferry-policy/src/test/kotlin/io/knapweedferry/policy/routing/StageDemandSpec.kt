package io.knapweedferry.policy.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a prefill stage that is sized for other engines or prompts than those of the service. */
internal class StageDemandSpec {
    /** Runs of one kind, and the prefill engines among [engines] that serve most of them once the decode engines are full. */
    private data class Case(
        val name: String,
        val engines: Int,
        val runPrefillMs: Double,
        val kvShare: Double,
        val heldMs: Long,
        val prefillEngines: Int,
    )

    private val cases =
        listOf(
            Case("small memory", 10, 95.0, 0.147, 3_300, 2),
            Case("medium memory", 13, 91.0, 0.124, 3_200, 3),
            Case("few engines", 6, 93.0, 0.101, 3_100, 2),
            Case("many engines", 42, 95.0, 0.15, 3_300, 9),
            Case("long prompts, short outputs", 12, 600.0, 0.6, 800, 8),
            Case("short prompts, long outputs", 12, 10.0, 0.1, 8_000, 1),
        )

    @Test
    fun `the target follows the runs`() {
        cases.forEach { case ->
            val demand = StageDemand()
            repeat(300) { demand.recordRun(case.runPrefillMs, case.kvShare, case.heldMs) }
            assertEquals(case.prefillEngines, StageBalance.targetPrefillEngines(case.engines, demand.prefillShare), "$case")
        }
    }

    /**
     * Plays the load that fills the decode engines, with the runs of [case] at [prefill] prefill engines: the rate of runs is
     * limited by the KV cache of the decode engines, and by the prefill engines if they cannot keep up.
     */
    private fun servedPerSecond(
        case: Case,
        prefill: Int,
    ): Double {
        val decodeLimit = (case.engines - prefill) / (case.kvShare * case.heldMs)
        val prefillLimit = prefill * MAX_UTILISATION / case.runPrefillMs
        return minOf(decodeLimit, prefillLimit) * MS_PER_SECOND
    }

    /** A fixed quarter, the rule before, left decode engines idle or let prompts queue. */
    @Test
    fun `under a load that fills the engines at least as many are served as with a fixed quarter`() {
        cases.forEach { case ->
            val served = servedPerSecond(case, case.prefillEngines)
            val servedByQuarter = servedPerSecond(case, Math.round(case.engines / 4.0).toInt())
            assertTrue(served >= servedByQuarter, "$case: $served instead of $servedByQuarter a second")
        }
    }

    @Test
    fun `a few unusual runs do not change the share much`() {
        val demand = StageDemand()
        repeat(300) { demand.recordRun(95.0, 0.147, 3_300) }
        val before = demand.prefillShare
        repeat(10) { demand.recordRun(95.0, 0.147, 12_000) }
        assertTrue(demand.prefillShare > before * 0.85, "$before, then ${demand.prefillShare}")
    }

    private companion object {
        /** Beyond this utilisation the queue of prompts grows longer than the callers wait. */
        const val MAX_UTILISATION = 0.9
        const val MS_PER_SECOND = 1_000
    }
}
