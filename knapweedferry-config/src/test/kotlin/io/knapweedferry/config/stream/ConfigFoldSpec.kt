package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.Change
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.intent.PlanStep
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.platform.log.LogRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** Guards against diverging configurations, two accepted confirmations in a race, and decreasing revisions. */
internal class ConfigFoldSpec {
    private val hana = OperatorName("hana")
    private val noor = OperatorName("noor")

    private fun plan(
        base: Long,
        deadlineMs: Long = 1,
        steps: List<PlanStep> = emptyList(),
        endpoint: EndpointAssignment? = null,
    ): Plan {
        val rank = Change.RankTarget(Rank.URGENT, after = RankPolicy(1, 1, deadlineMs, 0))
        val model = Change.Model(ModelName("m"), after = ModelPolicy("v$deadlineMs", 100))
        return Plan(Revision(base), "deadline $deadlineMs", listOf(rank, model, Change.Endpoint(EndpointId("e"), after = endpoint)), steps)
    }

    private fun proposed(plan: Plan) = ConfigRecord.PlanProposed(RecordId.random(), hana, 0, plan)

    private fun confirmed(
        plan: Long,
        base: Long,
        operator: OperatorName = hana,
    ) = ConfigRecord.PlanConfirmed(RecordId.random(), operator, 0, PlanId(plan), Revision(base))

    private fun applied(
        plan: Long,
        step: Int,
    ) = ConfigRecord.StepApplied(RecordId.random(), ProcessId("s"), 0, PlanId(plan), step, EndpointId("e"))

    private fun failed(
        plan: Long,
        step: Int,
    ) = ConfigRecord.StepFailed(RecordId.random(), ProcessId("s"), 0, PlanId(plan), step, EndpointId("e"), "no room")

    private fun replayAll(
        payloads: List<String>,
        start: ConfigStreamState = ConfigStreamState(),
    ): ConfigStreamState =
        payloads.foldIndexed(start) { offset, state, payload -> ConfigReplayer.apply(state, LogRecord(offset.toLong(), 0, payload)).state }

    private fun replay(vararg records: ConfigRecord): ConfigStreamState = replayAll(records.map { RecordCodec.encode(it) })

    private class Case(
        val name: String,
        val records: List<ConfigRecord>,
        val revision: Long,
        val rejections: List<Pair<RejectionReason, Long?>> = emptyList(),
    )

    private val cases =
        listOf(
            Case("a confirmed plan is accepted", listOf(proposed(plan(-1)), confirmed(0, -1)), 1),
            Case("a proposal alone changes nothing", listOf(proposed(plan(-1))), -1),
            Case(
                "of two racing confirmations the first wins",
                listOf(proposed(plan(-1)), proposed(plan(-1, 2)), confirmed(1, -1), confirmed(0, -1, noor)),
                2,
                listOf(RejectionReason.STALE_BASE to 2L),
            ),
            Case(
                "the winner is the change right after the base, not the newest one",
                listOf(proposed(plan(-1)), proposed(plan(-1)), confirmed(0, -1), proposed(plan(2)), confirmed(3, 2), confirmed(1, -1)),
                4,
                listOf(RejectionReason.STALE_BASE to 2L),
            ),
            Case(
                "a repeated confirmation does not apply a plan twice",
                listOf(proposed(plan(-1)), confirmed(0, -1), confirmed(0, -1)),
                1,
                listOf(RejectionReason.ALREADY_ACCEPTED to 1L),
            ),
            Case("a plan that was never proposed is refused", listOf(confirmed(7, -1)), -1, listOf(RejectionReason.UNKNOWN_PLAN to null)),
            Case(
                "a plan for an old revision cannot be confirmed, whatever base the confirmation claims",
                listOf(proposed(plan(-1)), confirmed(0, -1), proposed(plan(-1)), confirmed(2, 1)),
                1,
                listOf(RejectionReason.UNKNOWN_PLAN to null),
            ),
        )

    @TestFactory
    fun `confirmations are decided by order and base`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val state = replay(*case.records.toTypedArray())
                assertEquals(Revision(case.revision), state.revision)
                assertEquals(case.rejections, state.history.filter { !it.accepted }.map { it.rejection to it.winner?.value })
            }
        }

    @Test
    fun `unknown and malformed records are skipped`() {
        val invalidPayloads = listOf("", "{", "[]", "null", """{"type":"future_record","x":1}""", """{"type":"plan_confirmed"}""", "\u0000")
        val validPayloads = listOf(proposed(plan(-1)), confirmed(0, -1)).map { RecordCodec.encode(it) }
        val results = invalidPayloads.map { ConfigReplayer.apply(ConfigStreamState(), LogRecord(0, 0, it)) }
        assertTrue(results.all { it.skipReason != null && it.state == ConfigStreamState(appliedOffset = 0) }, results.toString())
        val outOfOrder = plan(-1, steps = listOf(PlanStep(1, 0, EndpointId("e"), EndpointAssignment(EndpointRole.DECODE), "v")))
        assertTrue(ConfigReplayer.apply(ConfigStreamState(), LogRecord(0, 0, RecordCodec.encode(proposed(outOfOrder)))).skipReason != null)
        assertEquals(Revision(1), replayAll(validPayloads + invalidPayloads).revision)
    }

    @Test
    fun `an engine keeps its previous assignment until its step is applied`() {
        val decode = EndpointAssignment(EndpointRole.DECODE, ModelName("m"))
        val prefill = EndpointAssignment(EndpointRole.PREFILL, ModelName("m"))
        val endpoint = EndpointId("e")

        fun steps(target: EndpointAssignment) = listOf(PlanStep(0, 0, endpoint, target, "v1"))
        val first = listOf(proposed(plan(-1, steps = steps(decode), endpoint = decode)), confirmed(0, -1))
        val started = replay(*first.toTypedArray())
        assertNull(started.snapshot().state.endpoints[endpoint])
        assertEquals(0, started.target(endpoint)?.step)
        val second = first + applied(0, 0) + proposed(plan(1, 1, steps(prefill), prefill)) + confirmed(3, 1)
        val rollingOut = replay(*second.toTypedArray())
        assertEquals(decode.copy(draining = true), rollingOut.snapshot().state.endpoints[endpoint])
        val afterLateReport = replay(*(second + applied(0, 0)).toTypedArray())
        assertEquals(rollingOut.copy(appliedOffset = 5), afterLateReport)
        val stopped = replay(*(second + failed(3, 0)).toTypedArray())
        assertEquals(decode, stopped.snapshot().state.endpoints[endpoint])
        assertEquals(EndpointTarget(Revision(4), decode, "v1"), stopped.target(endpoint))
        val done = replay(*(second + failed(3, 0) + applied(3, 0)).toTypedArray())
        assertEquals(prefill, done.snapshot().state.endpoints[endpoint])
    }

    @Test
    fun `random record sequences replay to the same state, and revisions never decrease`() {
        val seed = System.getProperty("knapweedferry.seed")?.toLong() ?: Random.nextLong()
        println("ConfigFoldSpec seed $seed (repeat with -Dknapweedferry.seed=$seed)")
        val random = Random(seed)
        repeat(ROUNDS) {
            var state = ConfigStreamState()
            val payloads = mutableListOf<String>()
            repeat(random.nextInt(1, MAX_RECORDS)) { offset ->
                val payload = randomPayload(random, state, offset)
                payloads += payload
                val next = ConfigReplayer.apply(state, LogRecord(offset.toLong(), 0, payload)).state
                assertTrue(next.revision >= state.revision) { "seed $seed" }
                val winners = next.history.count { it.accepted && it.plan == next.history.lastOrNull()?.plan }
                assertTrue(winners <= 1) { "seed $seed" }
                state = next
            }
            assertEquals(state, replayAll(payloads)) { "seed $seed" }
            val splitIndex = random.nextInt(payloads.size)
            val restored = RecordCodec.decodeState(RecordCodec.encodeState(replayAll(payloads.take(splitIndex))))!!
            assertEquals(state, replayAll(payloads, start = restored)) { "seed $seed" }
        }
    }

    private fun randomPayload(
        random: Random,
        state: ConfigStreamState,
        offset: Int,
    ): String {
        val base = if (random.nextInt(4) > 0) state.revision.value else random.nextLong(-1, offset + 1L)
        val planId =
            if (state.pending.isEmpty() ||
                random.nextBoolean()
            ) {
                random.nextLong(offset + 1L)
            } else {
                state.pending
                    .random(random)
                    .id.value
            }
        val assignment = EndpointAssignment(EndpointRole.entries.random(random), ModelName("m"))
        val steps = List(random.nextInt(3)) { PlanStep(it, it, EndpointId("e$it"), assignment, "v") }
        val record =
            when (random.nextInt(7)) {
                0, 1 -> proposed(plan(base, random.nextLong(9), steps, assignment))
                2, 3 -> confirmed(planId, base, listOf(hana, noor).random(random))
                4 -> applied(state.rollout?.plan?.value ?: planId, random.nextInt(4))
                5 -> failed(state.rollout?.plan?.value ?: planId, random.nextInt(4))
                else -> return "noise $offset"
            }
        return RecordCodec.encode(record)
    }

    private companion object {
        const val ROUNDS = 200
        const val MAX_RECORDS = 60
    }
}
