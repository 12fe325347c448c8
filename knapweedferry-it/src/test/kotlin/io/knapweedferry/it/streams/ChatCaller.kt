package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import io.knapweedferry.testing.deploy.Deployments
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.Call
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/** Sends chat requests and reads answers event by event. */
internal class ChatCaller : AutoCloseable {
    private val http =
        OkHttpClient
            .Builder()
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = MAX_REQUESTS })
            .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build()

    /** Runs [job] through the entry at [url]; [onToken] gets the number of tokens so far and the call, which it may cancel. */
    fun ask(
        url: String,
        job: ChatJob,
        lastEventId: String? = null,
        onToken: (Int, Call) -> Unit = { _, _ -> },
    ): ChatResult {
        val call = call(url, job, lastEventId)
        return try {
            call.execute().use { read(it, job, call, onToken) }
        } catch (refused: ConnectException) {
            ChatResult(End.NOT_CONNECTED, detail = refused.toString())
        } catch (broken: IOException) {
            ChatResult(End.CONNECTION_BROKEN, detail = broken.toString())
        }
    }

    /** The call of [job] for callers that cancel it themselves. */
    fun call(
        url: String,
        job: ChatJob,
        lastEventId: String? = null,
    ): Call {
        val request =
            Request
                .Builder()
                .url("$url/v1/chat/completions")
                .header("Authorization", "Bearer ${Deployments.API_KEY}")
                .header("X-Request-Id", job.requestId)
                .post(job.body.toRequestBody("application/json".toMediaType()))
        lastEventId?.let { request.header("Last-Event-ID", it) }
        return http.newCall(request.build())
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun read(
        response: Response,
        job: ChatJob,
        call: Call,
        onToken: (Int, Call) -> Unit,
    ): ChatResult {
        if (response.code != STATUS_OK) return ChatResult(End.PROBLEM, detail = response.body.string())
        if (!job.stream) return whole(response.body.string(), job)
        return events(response, call, onToken)
    }

    private fun whole(
        body: String,
        job: ChatJob,
    ): ChatResult {
        val message = choice(body).getValue("message").jsonObject
        val content = message.getValue("content").jsonPrimitive.content
        val isExpected = content == job.expected.joinToString("")
        return ChatResult(End.WHOLE, if (isExpected) job.expected else listOf(content))
    }

    private fun events(
        response: Response,
        call: Call,
        onToken: (Int, Call) -> Unit,
    ): ChatResult {
        val stream = EventStream(::textOf)
        try {
            val source = response.body.source()
            generateSequence { source.readUtf8Line() }.forEach { line ->
                stream.accept(line)
                if (line.isEmpty()) onToken(stream.texts.size, call)
            }
        } catch (broken: IOException) {
            stream.broke(broken)
        }
        return stream.result()
    }

    private fun textOf(line: String): String? =
        choice(line.removePrefix("data: "))
            .getValue("delta")
            .jsonObject["content"]
            ?.jsonPrimitive
            ?.content

    private fun choice(body: String) =
        Json
            .parseToJsonElement(body)
            .jsonObject
            .getValue("choices")
            .jsonArray
            .first()
            .jsonObject

    private companion object {
        const val STATUS_OK = 200
        const val MAX_REQUESTS = 200
        const val READ_TIMEOUT_SECONDS = 40L
    }
}
