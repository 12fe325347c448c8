package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import io.knapweedferry.testing.deploy.ManagedProcess
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
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
            fixture.await("decode-1 holds requests again", RESTART_MS) { fixture.heldIds("decode-1").isNotEmpty() }
            val sidecar = fixture.deployment.sidecars.getValue("decode-2")
            assertNoNewWork(fixture, "SIGTERM", load, "decode-2") { sidecar.terminate() }
            assertEquals(0, sidecar.awaitExit(RESTART_MS), sidecar.logText().takeLast(LOG_CHARS))
            val (answers, faults) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), faults)
            assertTrue(answers > CALLERS)
        }
    }

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
            val (answers, faults) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), faults)
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
        assertEquals(0, daemon.awaitExit(RESTART_MS), "${daemon.name}: ${daemon.logText().takeLast(LOG_CHARS)}")
        val starts = daemon.logText().split(LISTENING_EVENT).size
        daemon.start()
        if (entry >= 0) return fixture.deployment.awaitReady(entry)
        fixture.await("${daemon.name} is listening", RESTART_MS) { daemon.logText().split(LISTENING_EVENT).size > starts }
    }

    private fun assertNoNewWork(
        fixture: StreamFixture,
        what: String,
        load: RetryingLoadGenerator,
        engine: String = "decode-1",
        beginDrain: () -> Unit,
    ) {
        fixture.await("$engine holds requests", RESTART_MS) { fixture.heldIds(engine).isNotEmpty() }
        beginDrain()
        val known = HashSet<String>()
        val end = System.nanoTime() + STOP_NEW_WORK_LIMIT_MS * NANOS_PER_MS
        while (System.nanoTime() < end) known += fixture.heldIds(engine)
        val later = HashSet<String>()
        fixture.await("requests complete after $what", RESTART_MS) { later.addAll(fixture.heldIds(engine)).let { load.hasProgressed() } }
        println("$what: ${known.size} requests at $engine within $STOP_NEW_WORK_LIMIT_MS ms, ${(later - known).size} new ones later")
        assertEquals(emptySet<String>(), later - known)
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
        const val RESTART_MS = 20_000L
        const val NANOS_PER_MS = 1_000_000L
        const val LOG_CHARS = 1_500
        const val LISTENING_EVENT = "process is listening"
        const val LEAVING_EVENT = "endpoint is leaving"
    }
}
