package io.knapweedferry.it.streams

import io.knapweedferry.it.Daemons
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

/** The small deployment with short time limits, and what its engines hold. */
internal class StreamBed(
    folder: Path,
    plan: DeploymentPlan = plan(),
    proxied: Boolean = true,
) : AutoCloseable {
    val deployment = LocalDeployment(plan, folder, Daemons.classPath, proxied).apply { start() }
    val caller = ChatCaller()
    private val http = OkHttpClient()

    fun url(entry: Int): String = deployment.entryUrl(entry)

    /** Ids that an engine holds memory or a place for. */
    fun held(engine: String): List<String> =
        deployment
            .ledger(engine)
            .getValue("held")
            .jsonArray
            .map { it.jsonPrimitive.content }

    fun usedKvBlocks(engine: String): Int =
        deployment
            .ledger(engine)
            .getValue("load")
            .jsonObject
            .getValue("usedPieces")
            .jsonPrimitive.int

    fun counter(
        engine: String,
        name: String,
    ): Int =
        deployment
            .ledger(engine)
            .getValue("counters")
            .jsonObject
            .getValue(name)
            .jsonPrimitive.int

    fun heldAnywhere(): Map<String, List<String>> = ENGINES.associateWith(::held).filterValues { it.isNotEmpty() }

    /** Engine that decodes [requestId], once one does. */
    fun decoderOf(requestId: String): String {
        await("a decode engine holds $requestId", WAIT_MS) { DECODERS.any { holds(it, requestId) } }
        return DECODERS.first { holds(it, requestId) }
    }

    fun admin(
        standIn: String,
        path: String,
    ) {
        val request = Request.Builder().url("${deployment.standIns.url(standIn)}/admin/$path").post("".toRequestBody())
        http.newCall(request.build()).execute().use { check(it.isSuccessful) { "$standIn/$path gave ${it.code}" } }
    }

    /** Waits for [condition] and returns how long it took; fails after [boundMs]. */
    fun await(
        what: String,
        boundMs: Long,
        condition: () -> Boolean,
    ): Long {
        val start = System.nanoTime()
        while (true) {
            if (condition()) return elapsedMs(start)
            check(elapsedMs(start) < boundMs) { "not within $boundMs ms: $what; held ${heldAnywhere()}" }
            Thread.sleep(POLL_MS)
        }
    }

    override fun close() {
        caller.close()
        deployment.close()
    }

    private fun holds(
        engine: String,
        requestId: String,
    ) = held(engine).any { requestId in it }

    private fun elapsedMs(start: Long) = (System.nanoTime() - start) / NANOS_PER_MS

    internal companion object {
        val DECODERS = listOf("decode-1", "decode-2")
        val ENGINES = DECODERS + "prefill-1"
        const val GRACE_MS = 1_000L
        const val HEARTBEAT_TIMEOUT_MS = 600L

        /** Bound of the design page for abandoned work; half a second stands for one engine call on a busy machine. */
        const val FREE_BOUND_MS = GRACE_MS + HEARTBEAT_TIMEOUT_MS + 500L
        private const val WAIT_MS = 5_000L
        private const val POLL_MS = 10L
        private const val NANOS_PER_MS = 1_000_000L

        fun plan(
            seed: Long = 1,
            listLagMs: Long = 200,
        ): DeploymentPlan {
            val session = listOf("heartbeat_interval_ms = 150", "heartbeat_timeout_ms = $HEARTBEAT_TIMEOUT_MS")
            return Deployments.small().copy(
                seed = seed,
                instanceListLagMs = listLagMs,
                entrySettings = mapOf("session" to session),
                sidecarSettings = mapOf("session" to session, "gate" to listOf("grace_ms = $GRACE_MS")),
            )
        }
    }
}
