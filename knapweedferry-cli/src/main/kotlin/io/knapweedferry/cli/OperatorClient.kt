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
    private val token: String,
    private val timeoutMs: Long,
) {
    private val http = OkHttpClient()
    private val json = Json { ignoreUnknownKeys = true }

    fun send(request: OperatorRequest): ClientReply {
        val started = TimeSource.Monotonic.markNow()
        val failures = mutableListOf<String>()
        entries.forEachIndexed { index, entry ->
            // Splits the remaining time evenly, so that an unresponsive entry cannot use up the time of those after it.
            val leftMs = (timeoutMs - started.elapsedNow().inWholeMilliseconds) / (entries.size - index)
            if (leftMs <= 0) {
                failures += "$entry: not tried; the command timed out"
                return@forEachIndexed
            }
            when (val reply = ask(entry, request, leftMs)) {
                is ClientReply.Unreachable -> failures += reply.failures
                else -> return reply
            }
        }
        return ClientReply.Unreachable(failures)
    }

    private fun ask(
        entry: String,
        request: OperatorRequest,
        limitMs: Long,
    ): ClientReply =
        try {
            val call = http.newCall(httpRequest(entry, request))
            call.timeout().timeout(limitMs, TimeUnit.MILLISECONDS)
            call.execute().use { reply(entry, it) }
        } catch (fault: IOException) {
            ClientReply.Unreachable(listOf("$entry: ${fault.message ?: fault.javaClass.simpleName}"))
        }

    private fun httpRequest(
        entry: String,
        request: OperatorRequest,
    ): Request {
        val url =
            entry
                .toHttpUrl()
                .newBuilder()
                .addPathSegments("v1/operator")
                .addPathSegments(request.path)
                .build()
        val builder = Request.Builder().url(url).header("Authorization", "Bearer $token")
        request.body?.let { builder.post(it.toRequestBody(JSON_TYPE)) }
        return builder.build()
    }

    private fun reply(
        entry: String,
        response: Response,
    ): ClientReply {
        val body = response.body.string()
        if (response.isSuccessful) return ClientReply.Answered(body)
        val problem =
            problem(body)
                ?: return ClientReply.Unreachable(listOf("$entry: returned status ${response.code} without a valid problem body"))
        // Another entry may be able to reach the log, or may have loaded a configuration.
        if (response.code >= SERVER_ERROR) return ClientReply.Unreachable(listOf("$entry: ${problem.detail}"))
        return ClientReply.Refused(problem)
    }

    private fun problem(body: String): OperatorProblem? =
        try {
            json.decodeFromString(OperatorProblem.serializer(), body)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val SERVER_ERROR = 500
        val JSON_TYPE = "application/json".toMediaType()
    }
}
