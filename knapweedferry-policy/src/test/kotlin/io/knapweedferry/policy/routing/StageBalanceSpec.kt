package io.knapweedferry.policy.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a fleet with no prefill engines or with too many. */
internal class StageBalanceSpec {
    private data class Case(
        val engines: Int,
        val prefillShare: Double,
        val prefill: Map<String, List<String>>,
        val surplus: List<String>,
    )

    private val cases =
        listOf(
            Case(13, 0.22, mapOf("a" to listOf("a1", "a2"), "b" to listOf("b1", "b2"), "c" to listOf("c1")), listOf("a2", "b2")),
            Case(13, 0.22, mapOf("a" to listOf("a1", "a2", "a3")), emptyList()),
            Case(13, 0.12, mapOf("a" to listOf("a1", "a2", "a3")), listOf("a3")),
            Case(13, 0.30, mapOf("a" to listOf("a1", "a2"), "b" to listOf("b1", "b2"), "c" to listOf("c1")), listOf("a2")),
            Case(10, 0.20, mapOf("a" to listOf("a1", "a2", "a3")), listOf("a3")),
            // A single prefill engine among six would queue prompts for as long as the first event may take.
            Case(6, 0.22, mapOf("a" to listOf("a1"), "b" to listOf("b1")), emptyList()),
            Case(6, 0.22, mapOf("a" to listOf("a1", "a2"), "b" to listOf("b1")), listOf("a2")),
            Case(2, 0.22, mapOf("a" to listOf("a1")), emptyList()),
            Case(2, 0.90, mapOf("a" to listOf("a1"), "b" to listOf("b1")), listOf("a1")),
            Case(1, 0.22, mapOf("a" to listOf("a1")), listOf("a1")),
            Case(5, 0.22, emptyMap(), emptyList()),
        )

    @Test
    fun `surplus engines leave the prefill stage from the zones with the most of them`() {
        cases.forEach { assertEquals(it.surplus, StageBalance.surplusPrefillEngines(it.engines, it.prefillShare, it.prefill), "$it") }
    }

    /** Guards against engines that alternate between stages as a few others join and leave. */
    @Test
    fun `an engine changes to the prefill stage only below half of the target`() {
        data class Case(
            val engines: Int,
            val prefill: Int,
            val needsPrefillEngine: Boolean,
        )
        listOf(
            Case(1, 0, false),
            Case(2, 0, true),
            Case(4, 0, true),
            Case(6, 1, false),
            Case(13, 1, true),
            Case(13, 2, false),
            Case(28, 2, true),
            Case(28, 3, false),
        ).forEach { assertEquals(it.needsPrefillEngine, StageBalance.needsPrefillEngine(it.engines, it.prefill, PREFILL_SHARE), "$it") }
    }

    private companion object {
        const val PREFILL_SHARE = 0.22
    }
}
