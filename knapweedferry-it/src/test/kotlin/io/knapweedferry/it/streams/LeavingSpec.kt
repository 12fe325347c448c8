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

/** Guards against work for an endpoint that is leaving, and against a shutdown that cuts requests in progress (H6, H7). */
internal class LeavingSpec {
    private var bed: StreamBed? = null

    @AfterEach
    fun stop() {
        bed?.close()
    }

    @Test
    fun `an endpoint that leaves gets no new work though the list lags`(
        @TempDir folder: Path,
    ) {
        val bed = StreamBed(folder, StreamBed.plan(listLagMs = LIST_LAG_MS), proxied = false).also { bed = it }
        RetryingLoad(bed, CALLERS).use { load ->
            load.awaitProgress()
            assertNoNewWork(bed, "drained by a plan", load) { drainByPlan(bed, "decode-1") }
            bed.deployment.applyFleet()
            bed.deployment.awaitRollout(0)
            bed.await("decode-1 works again", RESTART_MS) { bed.held("decode-1").isNotEmpty() }
            val sidecar = bed.deployment.sidecars.getValue("decode-2")
            assertNoNewWork(bed, "SIGTERM", load, "decode-2") { sidecar.terminate() }
            assertEquals(0, sidecar.awaitExit(RESTART_MS), sidecar.logText().takeLast(LOG_CHARS))
            val (answers, faults) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), faults)
            assertTrue(answers > CALLERS)
        }
    }

    @Test
    fun `a rolling restart of all daemons under load cuts and loses nothing`(
        @TempDir folder: Path,
    ) {
        val bed = StreamBed(folder, StreamBed.plan(listLagMs = LIST_LAG_MS), proxied = false).also { bed = it }
        RetryingLoad(bed, CALLERS).use { load ->
            load.awaitProgress()
            (bed.deployment.entries + bed.deployment.sidecars.values).forEach { restart(bed, it) }
            load.awaitProgress()
            val (answers, faults) = load.finish()
            println("answers $answers, retries ${load.retries.get()}")
            assertEquals(emptyList<String>(), faults)
            assertTrue(answers > CALLERS)
        }
    }

    @Test
    fun `a sidecar whose instance is listed as leaving takes no new work`(
        @TempDir folder: Path,
    ) {
        val bed = StreamBed(folder, proxied = false).also { bed = it }
        bed.admin("instance_list", "instances/instance-decode-1/leaving")
        val sidecar = bed.deployment.sidecars.getValue("decode-1")
        bed.await("the sidecar notices that it is leaving", NO_NEW_WORK_MS) { LEAVING_EVENT in sidecar.logText() }
        val job = ChatJob("elsewhere", 20)
        assertEquals(End.WHOLE, bed.caller.ask(bed.url(0), job).end)
    }

    private fun restart(
        bed: StreamBed,
        daemon: ManagedProcess,
    ) {
        val entry = bed.deployment.entries.indexOf(daemon)
        daemon.terminate()
        assertEquals(0, daemon.awaitExit(RESTART_MS), "${daemon.name}: ${daemon.logText().takeLast(LOG_CHARS)}")
        val starts = daemon.logText().split(STARTED).size
        daemon.start()
        if (entry >= 0) return bed.deployment.awaitReady(entry)
        bed.await("${daemon.name} runs", RESTART_MS) { daemon.logText().split(STARTED).size > starts }
    }

    private fun assertNoNewWork(
        bed: StreamBed,
        what: String,
        load: RetryingLoad,
        engine: String = "decode-1",
        leave: () -> Unit,
    ) {
        bed.await("$engine has work", RESTART_MS) { bed.held(engine).isNotEmpty() }
        leave()
        val known = HashSet<String>()
        val end = System.nanoTime() + NO_NEW_WORK_MS * NANOS_PER_MS
        while (System.nanoTime() < end) known += bed.held(engine)
        val later = HashSet<String>()
        bed.await("requests after $what", RESTART_MS) { later.addAll(bed.held(engine)).let { load.progressed() } }
        println("$what: ${known.size} requests at $engine within $NO_NEW_WORK_MS ms, ${(later - known).size} new ones later")
        assertEquals(emptySet<String>(), later - known)
    }

    private fun drainByPlan(
        bed: StreamBed,
        endpoint: String,
    ) {
        val plan = bed.deployment.operate(0, "/intents", """{"type":"drain_endpoint","endpoint":"$endpoint","force":true}""")
        val id =
            Json
                .parseToJsonElement(plan)
                .jsonObject
                .getValue("id")
                .jsonPrimitive.content
        bed.deployment.operate(0, "/plans/$id/confirm", "")
    }

    private companion object {
        const val CALLERS = 12
        const val LIST_LAG_MS = 30_000L
        const val NO_NEW_WORK_MS = 3_000L
        const val RESTART_MS = 20_000L
        const val NANOS_PER_MS = 1_000_000L
        const val LOG_CHARS = 1_500
        const val STARTED = "process is listening"
        const val LEAVING_EVENT = "endpoint is leaving"
    }
}
