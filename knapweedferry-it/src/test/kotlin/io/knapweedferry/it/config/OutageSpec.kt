package io.knapweedferry.it.config

import io.knapweedferry.it.ApiClient
import io.knapweedferry.it.ApiResponse
import io.knapweedferry.it.DaemonLibraries
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
 * Guards against model traffic that fails during a log outage, non-idempotent work that runs without a claim, a burst of
 * appends after an outage, missing or blocking explanations, invalid credentials that are accepted, and secrets in log files.
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
        deployment = LocalDeployment(plan, folder, DaemonLibraries.classPath)
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
    fun `explain reports a request and a change, and exits with its documented code during a log outage`() {
        assertEquals(200, sendChat("explained-1").status)
        Polling.until(WAIT_LIMIT_MS, { explain("request", "explained-1").second }) { explain("request", "explained-1").first == 0 }
        val (_, request) = explain("request", "explained-1")
        assertTrue("decode-" in request, request)
        val (exit, change) = explain("change", "0")
        assertEquals(0, exit, change)
        assertTrue("alice" in change, change)
        deployment.setStandInFaults("log", """{"outage":"SILENT"}""")
        try {
            val start = System.nanoTime()
            val (exitDuringOutage, text) = explain("change", "0", timeoutMs = CLI_TIMEOUT_MS)
            assertEquals(EXIT_UNREACHABLE, exitDuringOutage, text)
            val tookMs = (System.nanoTime() - start) / 1_000_000
            println("explain with a silent log answered after $tookMs ms, JVM start included")
            assertTrue(tookMs < CLI_TIMEOUT_MS + JVM_START_ALLOWANCE_MS, "$tookMs ms")
        } finally {
            deployment.setStandInFaults("log", "{}")
        }
    }

    @Test
    fun `model requests succeed and non-idempotent work is rejected as not run during a log outage`() {
        assertEquals(200, sendTagStamp().status)
        deployment.setStandInFaults("log", """{"outage":"REFUSE"}""")
        val refused =
            try {
                repeat(REQUESTS) { assertEquals(200, sendChat("outage-$it", entry = it % 2).status) }
                sendTagStamp()
            } finally {
                deployment.setStandInFaults("log", "{}")
            }
        assertEquals(503, refused.status, refused.body)
        assertTrue("\"outcome\":\"not_run\"" in refused.body && "log_unavailable" in refused.body, refused.body)
        assertTrue("retry" in refused.body, refused.body)
        val appendsBefore = appendCount()
        val recoveredMs = Polling.until(WAIT_LIMIT_MS, { sendTagStamp().body }) { sendTagStamp().status == 200 }
        val appendsSinceOutage = appendCount() - appendsBefore
        println("claims succeed $recoveredMs ms after the outage, $appendsSinceOutage appends since its end")
        assertTrue(appendsSinceOutage < MAX_APPENDS_AFTER_OUTAGE, "$appendsSinceOutage appends")
    }

    @Test
    fun `wrong credentials are rejected`() {
        assertEquals(401, OperatorClient(deployment, "no-operator-token").get(0, "/status").status)
        assertEquals(401, OperatorClient(deployment, Deployments.API_KEY).get(0, "/status").status)
        val url = deployment.entryUrl(0) + "/v1/chat/completions"
        assertEquals(401, ApiClient(Deployments.OPERATOR_TOKEN).post(url, ApiClient.chatBody("loaner-note", "x", 1)).status)
    }

    private fun sendChat(
        id: String,
        entry: Int = 0,
    ): ApiResponse {
        val body = ApiClient.chatBody("loaner-note", "text", 3)
        return ApiClient().post(deployment.entryUrl(entry) + "/v1/chat/completions", body, mapOf("X-Request-Id" to id))
    }

    private fun sendTagStamp(): ApiResponse =
        ApiClient().post(
            deployment.entryUrl(0) + "/v1/services/dock-clerk/tag-stamp",
            "{}",
            mapOf("Idempotency-Key" to newIdempotencyKey()),
        )

    private fun newIdempotencyKey(): String {
        val random = UUID.randomUUID()
        val high = (System.currentTimeMillis() shl 16) or UUID_VERSION_7_BITS or (random.mostSignificantBits and 0xFFF)
        return UUID(high, random.leastSignificantBits).toString()
    }

    private fun appendCount(): Long =
        deployment
            .statistics("log")
            .getValue("appends")
            .jsonPrimitive.long

    private fun explain(
        kind: String,
        id: String,
        timeoutMs: Long = WAIT_LIMIT_MS,
    ): Pair<Int, String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command =
            listOf(java, "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", DaemonLibraries.classPath, "io.knapweedferry.cli.MainKt") +
                listOf("explain", kind, id, "--entry", deployment.entryUrl(0), "--timeout-ms", timeoutMs.toString()) +
                listOf("--token-file", deployment.operatorTokenFile.toString())
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        assertTrue(process.waitFor(WAIT_LIMIT_MS, TimeUnit.MILLISECONDS), output)
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
        const val WAIT_LIMIT_MS = 15_000L
        const val CLI_TIMEOUT_MS = 3_000L
        const val JVM_START_ALLOWANCE_MS = 3_000L

        /** Documented exit code for a request that no entry could complete. */
        const val EXIT_UNREACHABLE = 3

        /** The audit records of the 20 requests during the outage are appended in batches. */
        const val MAX_APPENDS_AFTER_OUTAGE = 20L
        const val UUID_VERSION_7_BITS = 0x7000L
    }
}
