package io.knapweedferry.it.config

import io.knapweedferry.it.Caller
import io.knapweedferry.it.CallerReply
import io.knapweedferry.it.Daemons
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.TimeUnit

/**
 * Guards against model traffic that stops with the log, work that must not repeat and runs without a claim, a burst of
 * appends after an outage, explanations that are missing or block, and credentials that are accepted or logged wrongly.
 */
@TestInstance(Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.MethodName::class)
internal class OutageSpec {
    private lateinit var deployment: LocalDeployment

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        val plan = Deployments.small()
        println("seed ${plan.seed}")
        deployment = LocalDeployment(plan, folder, Daemons.classPath)
        deployment.start()
    }

    @AfterAll
    fun stop() {
        val logs = (deployment.entries + deployment.sidecars.values).associate { it.name to it.logText() }
        deployment.close()
        val leaks = logs.flatMap { (name, text) -> SECRETS.filter { it in text }.map { "$name logged $it" } }
        assertEquals(emptyList<String>(), leaks)
    }

    @Test
    fun `a request and a change are explained, and the tool answers with its exit code while the log is down`() {
        assertEquals(200, chat("explained-1").status)
        Waiting.until(LIMIT_MS, { explain("request", "explained-1").second }) { explain("request", "explained-1").first == 0 }
        val (_, request) = explain("request", "explained-1")
        assertTrue("decode-" in request, request)
        val (exit, change) = explain("change", "0")
        assertEquals(0, exit, change)
        assertTrue("alice" in change, change)
        deployment.standInFaults("log", """{"outage":"SILENT"}""")
        try {
            val start = System.nanoTime()
            val (down, text) = explain("change", "0", timeoutMs = CLI_TIMEOUT_MS)
            assertEquals(UNREACHABLE, down, text)
            val tookMs = (System.nanoTime() - start) / 1_000_000
            println("explain with a silent log answered after $tookMs ms, JVM start included")
            assertTrue(tookMs < CLI_TIMEOUT_MS + JVM_START_MS, "$tookMs ms")
        } finally {
            deployment.standInFaults("log", "{}")
        }
    }

    @Test
    fun `model traffic goes on without the log and work that must not repeat is refused as not run`() {
        assertEquals(200, stamp().status)
        deployment.standInFaults("log", """{"outage":"REFUSE"}""")
        val refused =
            try {
                repeat(REQUESTS) { assertEquals(200, chat("outage-$it", entry = it % 2).status) }
                stamp()
            } finally {
                deployment.standInFaults("log", "{}")
            }
        assertEquals(503, refused.status, refused.body)
        assertTrue("\"outcome\":\"not_run\"" in refused.body && "log_unavailable" in refused.body, refused.body)
        assertTrue("retry" in refused.body, refused.body)
        val before = appends()
        val recoveredMs = Waiting.until(LIMIT_MS, { stamp().body }) { stamp().status == 200 }
        val since = appends() - before
        println("claims work $recoveredMs ms after the outage, $since appends since its end")
        assertTrue(since < BURST_APPENDS, "$since appends")
    }

    @Test
    fun `wrong credentials are refused`() {
        assertEquals(401, Operator(deployment, "no-operator-token").get(0, "/status").status)
        assertEquals(401, Operator(deployment, Deployments.API_KEY).get(0, "/status").status)
        val url = deployment.entryUrl(0) + "/v1/chat/completions"
        assertEquals(401, Caller(Deployments.OPERATOR_TOKEN).post(url, Caller.chat("loaner-note", "x", 1)).status)
    }

    private fun chat(
        id: String,
        entry: Int = 0,
    ): CallerReply {
        val body = Caller.chat("loaner-note", "text", 3)
        return Caller().post(deployment.entryUrl(entry) + "/v1/chat/completions", body, mapOf("X-Request-Id" to id))
    }

    private fun stamp(): CallerReply =
        Caller().post(deployment.entryUrl(0) + "/v1/services/dock-clerk/tag-stamp", "{}", mapOf("Idempotency-Key" to key()))

    private fun key(): String {
        val random = UUID.randomUUID()
        val high = (System.currentTimeMillis() shl 16) or VERSION_7 or (random.mostSignificantBits and 0xFFF)
        return UUID(high, random.leastSignificantBits).toString()
    }

    private fun appends(): Long =
        deployment
            .ledger("log")
            .getValue("appends")
            .jsonPrimitive.long

    private fun explain(
        kind: String,
        id: String,
        timeoutMs: Long = LIMIT_MS,
    ): Pair<Int, String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command =
            listOf(java, "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", Daemons.classPath, "io.knapweedferry.cli.MainKt") +
                listOf("explain", kind, id, "--entry", deployment.entryUrl(0), "--timeout-ms", timeoutMs.toString()) +
                listOf("--token-file", deployment.operatorTokenFile.toString())
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        assertTrue(process.waitFor(LIMIT_MS, TimeUnit.MILLISECONDS), output)
        return process.exitValue() to output
    }

    private companion object {
        val SECRETS =
            listOf(
                Deployments.API_KEY,
                Deployments.OTHER_API_KEY,
                Deployments.OPERATOR_TOKEN,
                Deployments.OTHER_OPERATOR_TOKEN,
                "local-deployment-session-key-0123456789",
            )
        const val REQUESTS = 20
        const val LIMIT_MS = 15_000L
        const val CLI_TIMEOUT_MS = 3_000L
        const val JVM_START_MS = 3_000L

        /** Documented exit code of a call that no entry could settle. */
        const val UNREACHABLE = 3

        /** 20 requests were recorded meanwhile; their audit goes out in batches. */
        const val BURST_APPENDS = 20L
        const val VERSION_7 = 0x7000L
    }
}
