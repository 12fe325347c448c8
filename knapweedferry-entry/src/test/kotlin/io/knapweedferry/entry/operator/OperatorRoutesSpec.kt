package io.knapweedferry.entry.operator

import arrow.core.left
import arrow.core.right
import io.javalin.Javalin
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.ProcessId
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.ChangeExplanation
import io.knapweedferry.config.report.ConfirmReport
import io.knapweedferry.config.report.EndpointsReport
import io.knapweedferry.config.report.HistoryReport
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.report.StepStatus
import io.knapweedferry.config.settings.OperatorSettings
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.config.stream.FollowerSettings
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.instance.InstanceList
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.platform.weight.WeightInfo
import io.knapweedferry.platform.weight.WeightStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import kotlin.time.measureTime

/**
 * Guards against two accepted confirmations in a race, against changes that are lost or applied twice when a response of the log
 * is lost, and against requests that get no answer while the log does not respond.
 */
internal class OperatorRoutesSpec {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val log = SharedLog()
    private val servers = mutableListOf<Javalin>()
    private val http = HttpClient.newHttpClient()
    private val fleet =
        ConfigState(
            models = mapOf(ModelName("review") to ModelPolicy("1", 8_000)),
            endpoints =
                (1..3).associate { EndpointId("d$it") to EndpointAssignment(EndpointRole.DECODE, ModelName("review")) } +
                    (EndpointId("p1") to EndpointAssignment(EndpointRole.PREFILL, ModelName("review"))),
        )

    private class Reply(
        val status: Int,
        val body: String,
    ) {
        inline fun <reified T> read(): T = Json.decodeFromString(body)

        val problem: OperatorProblem get() = read()
    }

    @AfterEach
    fun stop() {
        servers.forEach { it.stop() }
        scope.cancel()
    }

    private fun entry(deadlineMs: Long = 3_000): Int {
        val settings = FollowerSettings(ProcessId("entry"), pollWaitMs = 200, timeoutMs = 500, appendsSnapshots = false)
        val follower = ConfigFollower(log, { null }, settings)
        scope.launch { follower.run() }
        val instances =
            object : InstanceList {
                override suspend fun list() = emptyList<ListedInstance>().right()
            }
        val weights =
            object : WeightStore {
                override suspend fun describe(
                    model: ModelName,
                    version: String,
                ) = if (version == "1") WeightInfo(1_000, 100).right() else PlatformError.Rejected(404, "no").left()
            }
        val operators =
            listOf(OperatorSettings(OperatorName("hana"), sha256("token-h")), OperatorSettings(OperatorName("noor"), sha256("token-n")))
        val routes =
            OperatorRoutes(OperatorContext(ProcessId("entry"), follower, log, instances, weights), operators, deadlineMs = deadlineMs)
        val server = Javalin.create { routes.register(it) }.start("127.0.0.1", 0)
        servers += server
        runBlocking { withTimeout(5_000) { follower.awaitApplied(-1) } }
        return server.port()
    }

    private fun sha256(token: String): String =
        MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray()).joinToString("") { "%02x".format(it) }

    private fun send(
        port: Int,
        path: String,
        body: String? = null,
        token: String = "token-h",
        contentType: String = "application/json",
    ): Reply = sendAsync(port, path, body, token, contentType).join()

    private fun sendAsync(
        port: Int,
        path: String,
        body: String? = null,
        token: String = "token-h",
        contentType: String = "application/json",
    ): CompletableFuture<Reply> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/operator/$path")).header("Authorization", "Bearer $token")
        if (body != null) request.header("Content-Type", contentType).POST(HttpRequest.BodyPublishers.ofString(body))
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).thenApply { Reply(it.statusCode(), it.body()) }
    }

    private fun plan(
        port: Int,
        intent: Intent,
    ): PlanReport {
        val reply = send(port, "intents", Json.encodeToString(Intent.serializer(), intent))
        assertEquals(201, reply.status, reply.body)
        return reply.read()
    }

    private fun confirm(
        port: Int,
        plan: PlanReport,
    ): ConfirmReport {
        val reply = send(port, "plans/${plan.id.value}/confirm", "")
        assertEquals(200, reply.status, reply.body)
        return reply.read()
    }

    @Test
    fun `an intent becomes a plan, a change, and an explanation that names the operators`() {
        val first = entry()
        val second = entry()
        val plan = plan(first, Intent.ApplyFleet(fleet))
        assertEquals(40L, plan.plan.cost.loadSeconds)
        assertEquals(PlanStatus.PENDING, send(second, "plans/${plan.id.value}").read<PlanReport>().status)
        val confirmed = send(second, "plans/${plan.id.value}/confirm", "", "token-n").read<ConfirmReport>()
        assertTrue(confirm(second, plan).alreadyAccepted)
        val explanation = send(second, "changes/${confirmed.revision.value}/explain").read<ChangeExplanation>()
        assertEquals(
            listOf("hana", "noor"),
            listOf(
                explanation.proposal.proposedBy.value,
                explanation.proposal.decision
                    ?.confirmedBy
                    ?.value,
            ),
        )
        assertEquals(PlanStatus.ACCEPTED, explanation.proposal.status)
        assertTrue(explanation.complete && explanation.steps.all { it.status == StepStatus.ACTIVE }, explanation.toString())
        assertEquals(confirmed.revision, send(second, "status").read<StatusReport>().revision)
        assertEquals(4, send(second, "endpoints").read<EndpointsReport>().endpoints.size)
    }

    @Test
    fun `of concurrent confirmations exactly one is accepted, and the others are told which`() {
        val ports = listOf(entry(), entry())
        confirm(ports[0], plan(ports[0], Intent.ApplyFleet(fleet)))
        val plans = (1..6).map { plan(ports[it % 2], Intent.SetModelVersion(ModelName("review"), "1.$it")) }
        val replies =
            plans
                .mapIndexed { index, plan ->
                    sendAsync(ports[(index + 1) % 2], "plans/${plan.id.value}/confirm", "", listOf("token-h", "token-n")[index % 2])
                }.map { it.join() }
        val won = replies.filter { it.status == 200 }.map { it.read<ConfirmReport>() }
        val lost = replies.filter { it.status != 200 }
        assertEquals(1, won.size, replies.joinToString { it.body })
        assertEquals(setOf(409 to "lost_race"), lost.map { it.status to it.problem.title }.toSet())
        assertEquals(setOf(won.single().revision), lost.map { it.problem.winner?.revision }.toSet())
        assertTrue(lost.all { it.problem.detail.contains(won.single().summary) })
        val explained = send(ports[0], "changes/${won.single().plan.value}/explain").read<ChangeExplanation>()
        val rejected = send(ports[0], "history").read<HistoryReport>().decisions.filter { !it.accepted }
        assertEquals(rejected.map { it.offset }.toSet(), explained.rejected.map { it.offset }.toSet())
        val loser = plans.first { it.id != won.single().plan }
        assertEquals(PlanStatus.SUPERSEDED, send(ports[1], "plans/${loser.id.value}").read<PlanReport>().status)
    }

    @Test
    fun `a lost response of the log neither loses a change nor applies it twice`() {
        val port = entry()
        log.lostResponses.set(1)
        val plan = plan(port, Intent.ApplyFleet(fleet))
        assertEquals(1, log.size)
        log.lostResponses.set(1)
        val revision = confirm(port, plan).revision
        assertEquals(2, log.size)
        log.lostAppends.set(1)
        val next = plan(port, Intent.DrainEndpoint(EndpointId("d1")))
        log.lostAppends.set(1)
        assertTrue(confirm(port, next).revision > revision)
    }

    @Test
    fun `requests are answered within the deadline while the log is silent`() {
        val port = entry(deadlineMs = 700)
        val plan = plan(port, Intent.ApplyFleet(fleet))
        log.silent = true
        val unknownModelIntent = Json.encodeToString(Intent.serializer(), Intent.SetModelVersion(ModelName("x"), "2"))
        val cases =
            listOf(
                Triple("intents", Json.encodeToString(Intent.serializer(), Intent.ApplyFleet(fleet)), 503),
                Triple("intents", unknownModelIntent, 422),
                Triple("plans/${plan.id.value}/confirm", "", 503),
                Triple("plans/77/confirm", "", 503),
                Triple("changes/77/explain", null, 503),
                Triple("status", null, 200),
                Triple("endpoints", null, 200),
                Triple("history", null, 200),
            )
        for ((path, body, status) in cases) {
            val took = measureTime { assertEquals(status, send(port, path, body).status, path) }
            assertTrue(took.inWholeMilliseconds < 3_000, "$path took $took")
        }
        log.silent = false
        assertEquals(plan.id, confirm(port, plan).plan)
    }

    private class InvalidRequest(
        val path: String,
        val body: String?,
        val status: Int,
        val title: String,
        val contentType: String = "application/json",
        val token: String = "token-h",
    )

    private val invalidRequests =
        listOf(
            InvalidRequest("status", null, 401, "unauthenticated", token = "token-x"),
            InvalidRequest("intents", "{", 400, "malformed_request"),
            InvalidRequest("intents", """{"type":"unheard_of"}""", 400, "malformed_request"),
            InvalidRequest("intents", "[models.review]\nversion = 1", 400, "malformed_request", "application/toml"),
            InvalidRequest("intents", """{"type":"drain_endpoint","endpoint":"x"}""", 422, "unknown_endpoint"),
            InvalidRequest("plans/abc/confirm", "", 400, "malformed_request"),
            InvalidRequest("plans/9/confirm", "", 404, "unknown_plan"),
            InvalidRequest("plans/9", null, 404, "unknown_plan"),
            InvalidRequest("changes/9/explain", null, 404, "unknown_plan"),
            InvalidRequest("requests/r/explain", null, 404, "explanations_off"),
        )

    @TestFactory
    fun `invalid requests get a problem with a remedy and append no record`(): List<DynamicTest> {
        val port = entry()
        val tests =
            invalidRequests.map { case ->
                dynamicTest("${case.path} ${case.body ?: ""}") {
                    val reply = send(port, case.path, case.body, case.token, case.contentType)
                    assertEquals(case.status to case.title, reply.status to reply.problem.title, reply.body)
                    assertTrue(reply.problem.detail.contains(";") && log.size == 0, reply.body)
                }
            }
        return tests
    }
}
