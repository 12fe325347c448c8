package io.knapweedferry.it.streams

import io.knapweedferry.it.DaemonLibraries
import io.knapweedferry.testing.deploy.DeploymentPlan
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.nio.file.Path

/** Small deployment with short timeouts, and access to the requests and memory that its engines hold. */
internal class StreamFixture(
    folder: Path,
    plan: DeploymentPlan = plan(),
    withFaultProxies: Boolean = true,
) : AutoCloseable {
    val deployment = LocalDeployment(plan, folder, DaemonLibraries.classPath, withFaultProxies).apply { start() }
    val client = ChatClient()
    private val http = OkHttpClient()

    fun url(entry: Int): String = deployment.entryUrl(entry)

    /** Request ids for which [engine] holds memory or a queue slot. */
    fun heldIds(engine: String): List<String> =
        deployment
            .statistics(engine)
            .getValue("held")
            .jsonArray
            .map { it.jsonPrimitive.content }

    fun usedKvBlocks(engine: String): Int =
        deployment
            .statistics(engine)
            .getValue("load")
            .jsonObject
            .getValue("usedPieces")
            .jsonPrimitive.int

    fun counter(
        engine: String,
        name: String,
    ): Int =
        deployment
            .statistics(engine)
            .getValue("counters")
            .jsonObject
            .getValue(name)
            .jsonPrimitive.int

    fun heldIdsByEngine(): Map<String, List<String>> = ENGINES.associateWith(::heldIds).filterValues { it.isNotEmpty() }

    /** Waits for a decode engine to hold [requestId] and returns its name. */
    fun decodeEngineOf(requestId: String): String {
        await("a decode engine holds $requestId", WAIT_LIMIT_MS) { DECODE_ENGINES.any { holds(it, requestId) } }
        return DECODE_ENGINES.first { holds(it, requestId) }
    }

    fun admin(
        standIn: String,
        path: String,
    ) {
        val request = Request.Builder().url("${deployment.standIns.url(standIn)}/admin/$path").post("".toRequestBody())
        http
            .newCall(
                request.build(),
            ).execute()
            .use { check(it.isSuccessful) { "admin request $path to $standIn failed with status ${it.code}" } }
    }

    /** Waits until [condition] holds and returns the elapsed milliseconds; fails after [limitMs]. */
    fun await(
        description: String,
        limitMs: Long,
        condition: () -> Boolean,
    ): Long {
        val start = System.nanoTime()
        while (true) {
            if (condition()) return elapsedMs(start)
            check(elapsedMs(start) < limitMs) { "condition did not hold within $limitMs ms: $description; held ${heldIdsByEngine()}" }
            Thread.sleep(POLL_MS)
        }
    }

    override fun close() {
        client.close()
        deployment.close()
    }

    private fun holds(
        engine: String,
        requestId: String,
    ) = heldIds(engine).any { requestId in it }

    private fun elapsedMs(start: Long) = (System.nanoTime() - start) / NANOS_PER_MS

    internal companion object {
        val DECODE_ENGINES = listOf("decode-1", "decode-2")
        val ENGINES = DECODE_ENGINES + "prefill-1"
        const val GRACE_MS = 1_000L
        const val HEARTBEAT_TIMEOUT_MS = 600L

        /** Documented limit for releasing abandoned work: grace, heartbeat timeout, and one engine call (500 ms on a busy machine). */
        const val RELEASE_LIMIT_MS = GRACE_MS + HEARTBEAT_TIMEOUT_MS + 500L
        private const val WAIT_LIMIT_MS = 5_000L
        private const val POLL_MS = 10L
        private const val NANOS_PER_MS = 1_000_000L

        fun plan(
            seed: Long = 1,
            instanceListLagMs: Long = 200,
        ): DeploymentPlan {
            val session = listOf("heartbeat_interval_ms = 150", "heartbeat_timeout_ms = $HEARTBEAT_TIMEOUT_MS")
            return Deployments.small().copy(
                seed = seed,
                instanceListLagMs = instanceListLagMs,
                entrySettings = mapOf("session" to session),
                sidecarSettings = mapOf("session" to session, "gate" to listOf("grace_ms = $GRACE_MS")),
            )
        }
    }
}
