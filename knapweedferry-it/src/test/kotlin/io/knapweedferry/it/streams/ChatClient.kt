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

/** Client that sends chat requests and parses JSON and event-stream answers. */
internal class ChatClient : AutoCloseable {
    private val http =
        OkHttpClient
            .Builder()
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = MAX_CONCURRENT_REQUESTS })
            .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build()

    /** Sends [chat] to the entry at [url]; [onToken] gets the number of tokens so far and the call, which it may cancel. */
    fun send(
        url: String,
        chat: ChatRequest,
        lastEventId: String? = null,
        onToken: (Int, Call) -> Unit = { _, _ -> },
    ): ChatResult {
        val call = call(url, chat, lastEventId)
        return try {
            call.execute().use { read(it, chat, call, onToken) }
        } catch (refused: ConnectException) {
            ChatResult(End.NOT_CONNECTED, detail = refused.toString())
        } catch (broken: IOException) {
            ChatResult(End.CONNECTION_BROKEN, detail = broken.toString())
        }
    }

    /** Creates the call of [chat], so that a test can cancel it from another thread. */
    fun call(
        url: String,
        chat: ChatRequest,
        lastEventId: String? = null,
    ): Call {
        val request =
            Request
                .Builder()
                .url("$url/v1/chat/completions")
                .header("Authorization", "Bearer ${Deployments.API_KEY}")
                .header("X-Request-Id", chat.requestId)
                .post(chat.body.toRequestBody("application/json".toMediaType()))
        lastEventId?.let { request.header("Last-Event-ID", it) }
        return http.newCall(request.build())
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun read(
        response: Response,
        chat: ChatRequest,
        call: Call,
        onToken: (Int, Call) -> Unit,
    ): ChatResult {
        if (response.code != STATUS_OK) return ChatResult(End.PROBLEM, detail = response.body.string())
        if (!chat.stream) return parseJson(response.body.string(), chat)
        return parseEvents(response, call, onToken)
    }

    private fun parseJson(
        body: String,
        chat: ChatRequest,
    ): ChatResult {
        val message = choice(body).getValue("message").jsonObject
        val content = message.getValue("content").jsonPrimitive.content
        val isExpected = content == chat.expected.joinToString("")
        return ChatResult(End.WHOLE, if (isExpected) chat.expected else listOf(content))
    }

    private fun parseEvents(
        response: Response,
        call: Call,
        onToken: (Int, Call) -> Unit,
    ): ChatResult {
        val parser = EventStreamParser(::textOf)
        try {
            val source = response.body.source()
            generateSequence { source.readUtf8Line() }.forEach { line ->
                parser.accept(line)
                if (line.isEmpty()) onToken(parser.texts.size, call)
            }
        } catch (broken: IOException) {
            parser.connectionLost(broken)
        }
        return parser.result()
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
        const val MAX_CONCURRENT_REQUESTS = 200
        const val READ_TIMEOUT_SECONDS = 40L
    }
}
