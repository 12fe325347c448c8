package io.knapweedferry.it.config

import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.TimeUnit

/** Client of the operator API for one token; returns error responses instead of throwing. */
internal class OperatorClient(
    private val deployment: LocalDeployment,
    private val token: String,
) {
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    fun get(
        entry: Int,
        path: String,
    ): OperatorResponse = send(entry, path, null)

    fun status(entry: Int): StatusReport = json.decodeFromString(StatusReport.serializer(), get(entry, "/status").body)

    fun propose(
        entry: Int,
        intent: Intent,
    ): PlanReport {
        val response = send(entry, "/intents", Json.encodeToString(Intent.serializer(), intent))
        check(response.status == STATUS_CREATED) { response.body }
        return json.decodeFromString(PlanReport.serializer(), response.body)
    }

    fun confirm(
        entry: Int,
        plan: PlanReport,
    ): OperatorResponse = send(entry, "/plans/${plan.id.value}/confirm", "")

    private fun send(
        entry: Int,
        path: String,
        body: String?,
    ): OperatorResponse {
        val request = Request.Builder().url("${deployment.entryUrl(entry)}/v1/operator$path").header("Authorization", "Bearer $token")
        body?.let { request.post(it.toRequestBody("application/json".toMediaType())) }
        return http.newCall(request.build()).execute().use { OperatorResponse(it.code, it.body.string()) }
    }

    internal companion object {
        val json = Json { ignoreUnknownKeys = true }
        private const val STATUS_CREATED = 201
        private const val READ_TIMEOUT_SECONDS = 10L
    }
}
