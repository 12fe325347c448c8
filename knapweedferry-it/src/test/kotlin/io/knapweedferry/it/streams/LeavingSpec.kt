package io.knapweedferry.it.streams

import io.knapweedferry.it.KNOWN_RED
import io.knapweedferry.it.streams.ChatResult.End
import io.knapweedferry.testing.deploy.ManagedProcess
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Guards against new work at an endpoint that is being drained, and against shutdowns that abort requests in progress. */
internal class LeavingSpec {
    private var fixture: StreamFixture? = null

    @AfterEach
    fun stop() {
        fixture?.close()
    }

    @Test
    fun `a draining endpoint gets no new work although the instance list is stale`(
        @TempDir folder: Path,
    ) {
        val plan = StreamFixture.plan(instanceListLagMs = INSTANCE_LIST_LAG_MS)
        val fixture = StreamFixture(folder, plan, withFaultProxies = false).also { fixture = it }
        RetryingLoadGenerator(fixture, CALLERS).use { load ->
            load.awaitProgress()
            assertNoNewWork(fixture, "drained by a plan", load) { drainThroughPlan(fixture, "decode-1") }
            fixture.deployment.applyFleet()
            fixture.deployment.awaitRollout(0)
            fixture.await("decode-1 holds requests again", RESTART_LIMIT_MS) { fixture.heldIds("decode-1").isNotEmpty() }
            val sidecar = fixture.deployment.sidecars.getValue("decode-2")
            assertNoNewWork(fixture, "SIGTERM", load, "decode-2") { sidecar.terminate() }
            assertEquals(0, sidecar.awaitExit(RESTART_LIMIT_MS), sidecar.logText().takeLast(LOG_TAIL_CHARS))
            val (answers, failures) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), failures)
            assertTrue(answers > CALLERS)
        }
    }

    @Tag(KNOWN_RED)
    @Test
    fun `a rolling restart of all daemons under load aborts and loses no request`(
        @TempDir folder: Path,
    ) {
        val plan = StreamFixture.plan(instanceListLagMs = INSTANCE_LIST_LAG_MS)
        val fixture = StreamFixture(folder, plan, withFaultProxies = false).also { fixture = it }
        RetryingLoadGenerator(fixture, CALLERS).use { load ->
            load.awaitProgress()
            (fixture.deployment.entries + fixture.deployment.sidecars.values).forEach { restart(fixture, it) }
            load.awaitProgress()
            val (answers, failures) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), failures)
            assertTrue(answers > CALLERS)
        }
    }

    @Test
    fun `a sidecar whose instance is listed as leaving receives no new work`(
        @TempDir folder: Path,
    ) {
        val fixture = StreamFixture(folder, withFaultProxies = false).also { fixture = it }
        fixture.admin("instance_list", "instances/instance-decode-1/leaving")
        val sidecar = fixture.deployment.sidecars.getValue("decode-1")
        fixture.await("the sidecar logs that its endpoint is leaving", STOP_NEW_WORK_LIMIT_MS) { LEAVING_EVENT in sidecar.logText() }
        val chat = ChatRequest("elsewhere", 20)
        assertEquals(End.WHOLE, fixture.client.send(fixture.url(0), chat).end)
    }

    private fun restart(
        fixture: StreamFixture,
        daemon: ManagedProcess,
    ) {
        val entry = fixture.deployment.entries.indexOf(daemon)
        daemon.terminate()
        assertEquals(0, daemon.awaitExit(RESTART_LIMIT_MS), "${daemon.name}: ${daemon.logText().takeLast(LOG_TAIL_CHARS)}")
        val starts = daemon.logText().split(LISTENING_EVENT).size
        daemon.start()
        if (entry >= 0) return fixture.deployment.awaitReady(entry)
        fixture.await("${daemon.name} is listening", RESTART_LIMIT_MS) { daemon.logText().split(LISTENING_EVENT).size > starts }
    }

    private fun assertNoNewWork(
        fixture: StreamFixture,
        cause: String,
        load: RetryingLoadGenerator,
        engine: String = "decode-1",
        beginDrain: () -> Unit,
    ) {
        fixture.await("$engine holds requests", RESTART_LIMIT_MS) { fixture.heldIds(engine).isNotEmpty() }
        beginDrain()
        val earlierIds = HashSet<String>()
        val end = System.nanoTime() + STOP_NEW_WORK_LIMIT_MS * NANOS_PER_MS
        while (System.nanoTime() < end) earlierIds += fixture.heldIds(engine)
        val laterIds = HashSet<String>()
        fixture.await("requests complete after $cause", RESTART_LIMIT_MS) {
            laterIds.addAll(fixture.heldIds(engine)).let { load.hasProgressed() }
        }
        println("$cause: ${earlierIds.size} requests at $engine in $STOP_NEW_WORK_LIMIT_MS ms, ${(laterIds - earlierIds).size} new later")
        assertEquals(emptySet<String>(), laterIds - earlierIds)
    }

    private fun drainThroughPlan(
        fixture: StreamFixture,
        endpoint: String,
    ) {
        val plan = fixture.deployment.callOperatorApi(0, "/intents", """{"type":"drain_endpoint","endpoint":"$endpoint","force":true}""")
        val id =
            Json
                .parseToJsonElement(plan)
                .jsonObject
                .getValue("id")
                .jsonPrimitive.content
        fixture.deployment.callOperatorApi(0, "/plans/$id/confirm", "")
    }

    private companion object {
        const val CALLERS = 12
        const val INSTANCE_LIST_LAG_MS = 30_000L
        const val STOP_NEW_WORK_LIMIT_MS = 3_000L
        const val RESTART_LIMIT_MS = 20_000L
        const val NANOS_PER_MS = 1_000_000L
        const val LOG_TAIL_CHARS = 1_500
        const val LISTENING_EVENT = "process is listening"
        const val LEAVING_EVENT = "endpoint is leaving"
    }
}
