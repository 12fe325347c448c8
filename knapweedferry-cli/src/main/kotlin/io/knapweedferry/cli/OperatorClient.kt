package io.knapweedferry.cli

import io.knapweedferry.config.report.OperatorProblem
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/**
 * Sends a request to the entries in order until one of them accepts or refuses it. Intents and confirmations are retried
 * at the next entry too, because a plan that is proposed or confirmed twice is applied only once.
 */
internal class OperatorClient(
    private val entries: List<String>,
    /** Null for requests to an API that needs no token. */
    private val token: String?,
    private val timeoutMs: Long,
) {
    private val http = OkHttpClient()
    private val json = Json { ignoreUnknownKeys = true }

    fun send(request: OperatorRequest): OperatorResponse {
        val startMark = TimeSource.Monotonic.markNow()
        val failures = mutableListOf<String>()
        entries.forEachIndexed { index, entry ->
            // Splits the remaining time evenly, so that an unresponsive entry cannot use up the time of those after it.
            val entryTimeoutMs = (timeoutMs - startMark.elapsedNow().inWholeMilliseconds) / (entries.size - index)
            if (entryTimeoutMs <= 0) {
                failures += "$entry: not tried; the command timed out"
                return@forEachIndexed
            }
            when (val reply = sendTo(entry, request, entryTimeoutMs)) {
                is OperatorResponse.NoResponse -> failures += reply.failures
                else -> return reply
            }
        }
        return OperatorResponse.NoResponse(failures)
    }

    private fun sendTo(
        entry: String,
        request: OperatorRequest,
        entryTimeoutMs: Long,
    ): OperatorResponse =
        try {
            val call = http.newCall(httpRequest(entry, request))
            call.timeout().timeout(entryTimeoutMs, TimeUnit.MILLISECONDS)
            call.execute().use { parseResponse(entry, it) }
        } catch (e: IOException) {
            OperatorResponse.NoResponse(listOf("$entry: ${e.message ?: e.javaClass.simpleName}"))
        }

    private fun httpRequest(
        entry: String,
        request: OperatorRequest,
    ): Request {
        val url =
            entry
                .toHttpUrl()
                .newBuilder()
                .addPathSegments(request.api.path)
                .addPathSegments(request.path)
                .apply { request.query.forEach { (name, value) -> addQueryParameter(name, value) } }
                .build()
        val builder = Request.Builder().url(url)
        token?.let { builder.header("Authorization", "Bearer $it") }
        request.body?.let { builder.post(it.toRequestBody(JSON_TYPE)) }
        return builder.build()
    }

    private fun parseResponse(
        entry: String,
        response: Response,
    ): OperatorResponse {
        val body = response.body.string()
        if (response.isSuccessful) return OperatorResponse.Success(body)
        val problem =
            parseProblem(body)
                ?: return OperatorResponse.NoResponse(listOf("$entry: returned status ${response.code} without a valid problem body"))
        // Another entry may be able to reach the log, or may have loaded a configuration.
        if (response.code >= FIRST_SERVER_ERROR_STATUS) return OperatorResponse.NoResponse(listOf("$entry: ${problem.detail}"))
        return OperatorResponse.Refused(problem)
    }

    private fun parseProblem(body: String): OperatorProblem? =
        try {
            json.decodeFromString(OperatorProblem.serializer(), body)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val FIRST_SERVER_ERROR_STATUS = 500
        val JSON_TYPE = "application/json".toMediaType()
    }
}
