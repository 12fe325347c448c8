package io.knapweedferry.config.intent

import arrow.core.getOrElse
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Revision
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.WorkPolicy
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.config.stream.LoadedAssignment
import io.knapweedferry.config.stream.Rollout
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.weight.WeightInfo
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** Guards against plans that miss the requested state, make a role unavailable, or lead to an invalid configuration. */
internal class PlannerSpec {
    private val review = ModelName("review")
    private val survey = ModelName("survey")
    private val decode = EndpointAssignment(EndpointRole.DECODE, review)
    private val prefill = EndpointAssignment(EndpointRole.PREFILL, review)

    private val state =
        ConfigState(
            models = mapOf(review to ModelPolicy("1", 8_000), survey to ModelPolicy("1", 8_000)),
            work = mapOf(WorkKind("inspection") to WorkPolicy(review, Rank.URGENT)),
            ranks = mapOf(Rank.URGENT to RankPolicy(500, 25, 5_000, 60)),
            endpoints = (1..4).associate { EndpointId("d$it") to decode } + (1..2).associate { EndpointId("p$it") to prefill },
        )
    private val streamState = ConfigStreamState(Revision(7), appliedOffset = 9, accepted = state)
    private val smallFleet =
        streamState.copy(accepted = state.copy(endpoints = mapOf(EndpointId("d1") to decode, EndpointId("p1") to prefill)))

    private class RejectedIntent(
        val intent: Intent,
        val code: IntentProblemCode,
    )

    private val rejectedIntents =
        listOf(
            RejectedIntent(Intent.DrainEndpoint(EndpointId("x")), IntentProblemCode.UNKNOWN_ENDPOINT),
            RejectedIntent(Intent.RemoveEndpoint(EndpointId("x")), IntentProblemCode.UNKNOWN_ENDPOINT),
            RejectedIntent(Intent.AssignEndpoint(EndpointId("d1"), decode), IntentProblemCode.NOTHING_TO_CHANGE),
            RejectedIntent(Intent.AssignEndpoint(EndpointId("n"), decode.copy(model = ModelName("x"))), IntentProblemCode.UNKNOWN_MODEL),
            RejectedIntent(Intent.AssignEndpoint(EndpointId("n"), decode.copy(model = null)), IntentProblemCode.INVALID_VALUE),
            RejectedIntent(Intent.AssignEndpoint(EndpointId("a b"), decode), IntentProblemCode.INVALID_VALUE),
            RejectedIntent(Intent.AssignEndpoint(EndpointId("clerk"), decode), IntentProblemCode.KIND_MISMATCH),
            RejectedIntent(Intent.SetModelVersion(ModelName("x"), "2"), IntentProblemCode.UNKNOWN_MODEL),
            RejectedIntent(Intent.SetModelVersion(review, " "), IntentProblemCode.INVALID_VALUE),
            RejectedIntent(Intent.SetWork(WorkKind("w"), WorkPolicy(ModelName("x"), Rank.URGENT)), IntentProblemCode.UNKNOWN_MODEL),
            RejectedIntent(Intent.SetWork(WorkKind("w"), WorkPolicy(survey, Rank.URGENT)), IntentProblemCode.NEEDS_FORCE),
            RejectedIntent(Intent.SetRank(Rank.STANDARD, RankPolicy(1, 1, 1, 41)), IntentProblemCode.INVALID_VALUE),
            RejectedIntent(Intent.SetRank(Rank.STANDARD, RankPolicy(1, 1, 0, 1)), IntentProblemCode.INVALID_VALUE),
            RejectedIntent(
                Intent.SetOrganisation(io.knapweedferry.api.OrganisationId("o"), OrganisationPolicy(listOf("secret"), Rank.URGENT)),
                IntentProblemCode.INVALID_VALUE,
            ),
            RejectedIntent(Intent.ApplyFleet(state.copy(models = emptyMap()), force = true), IntentProblemCode.UNKNOWN_MODEL),
            RejectedIntent(Intent.ApplyFleet(state.copy(endpoints = emptyMap())), IntentProblemCode.NEEDS_FORCE),
        )

    @TestFactory
    fun `rejects invalid intents with a remedy`(): List<DynamicTest> =
        rejectedIntents.mapIndexed { index, case ->
            dynamicTest("$index ${case.code}") {
                val problem =
                    Planner
                        .plan(
                            case.intent,
                            streamState,
                            mapOf(EndpointId("clerk") to EndpointKind.SERVICE),
                        ).swap()
                        .getOrElse { error("$it") }
                assertEquals(case.code, problem.code, problem.message)
                assertTrue(problem.message.contains(";"), problem.message)
            }
        }

    @Test
    fun `removes the last decode endpoint only with force`() {
        for (intent in listOf(Intent.DrainEndpoint(EndpointId("d1")), Intent.RemoveEndpoint(EndpointId("d1")))) {
            assertEquals(
                IntentProblemCode.NEEDS_FORCE,
                Planner
                    .plan(intent, smallFleet)
                    .swap()
                    .getOrNull()
                    ?.code,
            )
        }
        val plan = plan(Intent.RemoveEndpoint(EndpointId("d1"), force = true), smallFleet)
        assertEquals(
            setOf(PlanWarningCode.NO_DECODE_ENDPOINT, PlanWarningCode.CAPACITY_DROP),
            plan.warnings.map { it.code }.toSet(),
        )
    }

    @Test
    fun `a new version is loaded in batches and its cost is the weight size`() {
        val plan = plan(Intent.SetModelVersion(review, "2"), streamState)
        assertEquals(listOf("d1", "d2", "p1"), plan.steps.filter { it.batch == 0 }.map { it.endpoint.value })
        assertEquals(listOf(0, 0, 0, 1, 1, 1), plan.steps.map { it.batch })
        val version = ModelVersion(review, "2")
        assertEquals(setOf(version), Planner.versionsToLoad(plan, streamState))
        assertEquals(PlanCost(6_000, 61), Planner.withCost(plan, streamState, mapOf(version to WeightInfo(1_000, 99))).cost)
        assertEquals(listOf(PlanWarningCode.COST_UNKNOWN), Planner.withCost(plan, streamState, emptyMap()).warnings.map { it.code })
    }

    @Test
    fun `a role change loads no weights`() {
        val plan = plan(Intent.AssignEndpoint(EndpointId("d1"), prefill), streamState)
        assertEquals(1, plan.steps.size)
        assertEquals(emptySet<ModelVersion>(), Planner.versionsToLoad(plan, streamState))
    }

    @Test
    fun `plans an unfinished step again even if the engine already has the wanted assignment`() {
        val endpoint = EndpointId("d1")
        val open = PlanStep(0, 0, endpoint, prefill, "1")
        val rollout = Rollout(PlanId(3), Revision(7), listOf(open), previous = mapOf(endpoint to LoadedAssignment(decode, "1")))
        val inRollout = streamState.copy(accepted = state.copy(endpoints = state.endpoints + (endpoint to prefill)), rollout = rollout)
        val plan = plan(Intent.AssignEndpoint(endpoint, decode), inRollout)
        assertEquals(listOf(PlanStep(0, 0, endpoint, decode, "1")), plan.steps)
        assertEquals(listOf(PlanWarningCode.SUPERSEDES_PLAN), plan.warnings.map { it.code })
    }

    @Test
    fun `plans between random fleets reach the requested state and keep half of each role serving`() {
        val seed = System.getProperty("knapweedferry.seed")?.toLong() ?: Random.nextLong()
        println("PlannerSpec seed $seed (repeat with -Dknapweedferry.seed=$seed)")
        val random = Random(seed)
        repeat(300) {
            val before = streamState.copy(accepted = randomFleet(random))
            val after = randomFleet(random)
            val plan = Planner.plan(Intent.ApplyFleet(after, force = true), before).getOrElse { return@repeat }
            assertEquals(after, plan.newState(before.accepted)) { "seed $seed" }
            assertHalfServes(before.accepted, plan, "seed $seed")
        }
    }

    private fun randomFleet(random: Random): ConfigState {
        val roles = listOf(EndpointRole.PREFILL, EndpointRole.DECODE, EndpointRole.MIXED)
        val endpoints = (0 until random.nextInt(1, 14)).filter { random.nextInt(5) > 0 }
        return state.copy(
            models = state.models.mapValues { ModelPolicy(random.nextInt(2).toString(), 8_000) },
            endpoints =
                endpoints.associate {
                    EndpointId("e$it") to
                        EndpointAssignment(roles.random(random), listOf(review, survey).random(random))
                },
        )
    }

    private fun assertHalfServes(
        before: ConfigState,
        plan: Plan,
        seedText: String,
    ) {
        val removed =
            plan.changes
                .filterIsInstance<Change.Endpoint>()
                .filter { it.after == null }
                .map { it.endpoint }
        val serving = (before.endpoints - removed.toSet()).toMutableMap()
        for (batch in plan.steps
            .groupBy { it.batch }
            .toSortedMap()
            .values) {
            val reassigned = batch.mapNotNull { serving[it.endpoint] }.groupingBy { it.model to it.role }.eachCount()
            for ((group, count) in reassigned) {
                val size = serving.values.count { (it.model to it.role) == group }
                val interrupted = size == 1 && plan.warnings.any { it.code == PlanWarningCode.PAUSE_IN_SERVICE }
                assertTrue(count * 2 <= size || interrupted) { "$seedText: batch reassigns $count of $size endpoints of $group" }
            }
            for (step in batch) serving[step.endpoint] = step.assignment
        }
    }

    private fun plan(
        intent: Intent,
        streamState: ConfigStreamState,
    ): Plan = Planner.plan(intent, streamState).getOrElse { error(it.message) }
}
