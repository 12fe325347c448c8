package io.knapweedferry.testing.deploy

import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.report.StepStatus
import io.knapweedferry.testing.standin.StandIns
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * Deployment on loopback ports: stand-ins run in this process, daemons as child processes. Used by the demo, the integration
 * tests and the measurements.
 */
public class LocalDeployment(
    public val plan: DeploymentPlan,
    private val folder: Path,
    classPath: String = System.getProperty("java.class.path"),
    /** Whether to put a fault proxy in front of each sidecar; the instance list then shows the address of the proxy. */
    withFaultProxies: Boolean = false,
) : AutoCloseable {
    private val layout = DeploymentLayout(plan)
    private val proxies = if (withFaultProxies) SidecarProxies(layout, plan.seed) else null
    private val files = DeploymentFiles(plan, layout, folder)
    private val http = OkHttpClient.Builder().readTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()
    private val daemon = DaemonCommandLine(classPath)

    /** Stand-ins of the external systems. */
    public val standIns: StandIns = StandIns(layout.standInSettings(proxies?.let { it::address } ?: layout::sidecarAddress))

    /** Entry daemons by index. */
    public val entries: List<ManagedProcess> =
        List(plan.entryCount) { ManagedProcess("entry-$it", daemon.entry(files.entrySettings(it)), folder.resolve("entry-$it.log")) }

    /** Sidecar daemons by the name of their endpoint. */
    public val sidecars: Map<String, ManagedProcess> =
        layout.endpointNames.associateWith {
            ManagedProcess("sidecar-$it", daemon.sidecar(files.sidecarSettings(it)), folder.resolve("sidecar-$it.log"))
        }

    /** Second sidecar process for [endpoint], as a supervisor starts when it considers the first one failed. Not started yet. */
    public fun replacement(endpoint: String): ManagedProcess =
        ManagedProcess(
            "replacement-$endpoint",
            daemon.sidecar(files.sidecarSettings(endpoint)),
            folder.resolve("replacement-$endpoint.log"),
        )

    /** Base URL of an entry. */
    public fun entryUrl(index: Int): String = "http://${layout.entryAddress(index)}"

    /** Starts all processes, applies the fleet configuration as an operator would, and returns once all entries are ready. */
    public fun start() {
        Files.createDirectories(folder)
        standIns.start()
        files.write(standIns::url)
        (sidecars.values + entries).forEach { it.start() }
        entries.indices.forEach { awaitLive(it) }
        applyFleet()
        entries.indices.forEach { awaitReady(it) }
        entries.indices.forEach { awaitRollout(it) }
    }

    /** Waits until an entry reports all steps of the latest plan as applied. */
    public fun awaitRollout(index: Int) {
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS)
        while (System.nanoTime() < deadline) {
            val status = json.decodeFromString(StatusReport.serializer(), callOperatorApi(index, "/status", null))
            if (status.steps.all { it.status == StepStatus.APPLIED } && status.revision > Revision.NONE) return
            Thread.sleep(POLL_MS)
        }
        error("timed out waiting for the plan to be applied: ${callOperatorApi(index, "/status", null)}")
    }

    /** Proposes and confirms the whole fleet configuration of the plan. */
    public fun applyFleet() {
        val intent = Json.encodeToString(Intent.serializer(), Intent.ApplyFleet(layout.fleetConfig(), force = true))
        val report = json.decodeFromString(PlanReport.serializer(), callOperatorApi(0, "/intents", intent))
        callOperatorApi(0, "/plans/${report.id.value}/confirm", "")
    }

    /** File with the token of the operator `alice`, for the command-line client. */
    public val operatorTokenFile: Path get() = files.operatorTokenFile

    /** Waits until an entry reports that it is ready. */
    public fun awaitReady(index: Int): Unit = awaitStatus(index, "/health/ready")

    private fun awaitLive(index: Int) = awaitStatus(index, "/health/live")

    private fun awaitStatus(
        index: Int,
        path: String,
    ) {
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS)
        while (System.nanoTime() < deadline) {
            if (statusOf(entryUrl(index) + path) == STATUS_OK) return
            check(entries[index].isAlive) { "entry-$index exited: ${entries[index].logText().takeLast(LOG_TAIL_CHARS)}" }
            Thread.sleep(POLL_MS)
        }
        error("entry-$index did not respond to $path with status 200 in time: ${entries[index].logText().takeLast(LOG_TAIL_CHARS)}")
    }

    private fun statusOf(url: String): Int? =
        try {
            http.newCall(Request.Builder().url(url).build()).execute().use { it.code }
        } catch (_: IOException) {
            null
        }

    /** Injects a network fault (`cut`, `delay` or `silence`) between entries and the sidecar of [endpoint], or ends it (`heal`). */
    public fun injectNetworkFault(
        endpoint: String,
        fault: String,
        body: String = "{}",
    ) {
        post("${checkNotNull(proxies) { "the deployment was created without proxies" }.adminUrl}/admin/routes/$endpoint/$fault", body)
    }

    /** Replaces the faults of a stand-in: `log`, `instance_list`, `weight_store`, or an engine or service. */
    public fun setStandInFaults(
        name: String,
        body: String,
    ) {
        post("${standIns.url(name)}/admin/faults", body)
    }

    /** Statistics of a stand-in, from `GET /admin/ledger`. */
    public fun statistics(name: String): JsonObject {
        val request = Request.Builder().url("${standIns.url(name)}/admin/ledger").build()
        return http.newCall(request).execute().use { Json.parseToJsonElement(it.body.string()).jsonObject }
    }

    private fun post(
        url: String,
        body: String,
    ) {
        val request =
            Request
                .Builder()
                .url(url)
                .post(body.toRequestBody("application/json".toMediaType()))
                .build()
        http.newCall(request).execute().use { check(it.isSuccessful) { "$url returned ${it.code}: ${it.body.string()}" } }
    }

    /** Calls the operator API of an entry: GET if [body] is null, otherwise POST. Returns the response body. */
    public fun callOperatorApi(
        index: Int,
        path: String,
        body: String?,
    ): String {
        val request =
            Request
                .Builder()
                .url("${entryUrl(index)}/v1/operator$path")
                .header("Authorization", "Bearer ${Deployments.OPERATOR_TOKEN}")
        body?.let { request.post(it.toRequestBody("application/json".toMediaType())) }
        return http.newCall(request.build()).execute().use { response ->
            val text = response.body.string()
            check(response.isSuccessful) { "operator call $path returned ${response.code}: $text" }
            text
        }
    }

    override fun close() {
        val all = entries + sidecars.values
        all.filter { it.isAlive }.forEach { it.resumeProcess() }
        all.forEach { it.kill() }
        standIns.close()
        proxies?.close()
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val CALL_TIMEOUT_MS = 10_000L
        const val START_TIMEOUT_MS = 30_000L
        const val POLL_MS = 50L
        const val STATUS_OK = 200
        const val LOG_TAIL_CHARS = 2_000
    }
}
