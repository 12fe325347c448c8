package io.knapweedferry.testing.load

import com.fasterxml.uuid.Generators
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.sse.EventSources
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark

/** HTTP client that sends requests to entries and measures the answers. */
internal class LoadClient(
    private val scenario: LoadScenario,
) : AutoCloseable {
    private val uuids = Generators.timeBasedEpochGenerator()
    private val client =
        OkHttpClient
            .Builder()
            .dispatcher(Dispatcher().also { it.maxRequests = scenario.maxInFlight }.also { it.maxRequestsPerHost = scenario.maxInFlight })
            .connectionPool(ConnectionPool(scenario.maxInFlight, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .readTimeout(scenario.requestTimeoutMs, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .build()
    private val eventSources = EventSources.createFactory(client)

    /** Sends [request] and returns its result once it has completed, failed or timed out; times count from [arrival]. */
    suspend fun send(
        request: PlannedRequest,
        arrival: TimeMark,
    ): RequestResult {
        val result = CompletableDeferred<RequestResult>()
        val cancel = if (request.work.isChat) startChat(request, arrival, result) else startCall(request, arrival, result)
        // The HTTP client has no timeout for the total duration of an event stream.
        val ended = withTimeoutOrNull(scenario.requestTimeoutMs.milliseconds) { result.await() }
        if (ended != null) return ended
        cancel()
        return RequestResult(request, ResultKind.FAILED, "driver_timeout")
    }

    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun startChat(
        request: PlannedRequest,
        arrival: TimeMark,
        result: CompletableDeferred<RequestResult>,
    ): () -> Unit {
        val http = requestBuilder(request, "/v1/chat/completions", chatBody(request)).build()
        return eventSources.newEventSource(http, ChatListener(request, arrival, result))::cancel
    }

    private fun startCall(
        request: PlannedRequest,
        arrival: TimeMark,
        result: CompletableDeferred<RequestResult>,
    ): () -> Unit {
        val work = request.work
        val builder = requestBuilder(request, "/v1/services/${work.service}/${work.operation}", work.body)
        if (!work.repeatable) builder.header("Idempotency-Key", uuids.generate().toString())
        val call = client.newCall(builder.build())
        call.enqueue(ServiceCallback(request, arrival, result))
        return call::cancel
    }

    private fun requestBuilder(
        request: PlannedRequest,
        path: String,
        body: String,
    ) = Request
        .Builder()
        .url(request.entryUrl.trimEnd('/') + path)
        .header("Authorization", "Bearer ${request.organisation.apiKey}")
        .header("X-Request-Id", uuids.generate().toString())
        .post(body.toRequestBody(JSON))

    private fun chatBody(request: PlannedRequest): String =
        buildJsonObject {
            put("model", request.work.model)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", PromptText.of(request, scenario.seed))
                }
            }
            put("stream", true)
            put("max_tokens", request.answerTokens)
            putJsonObject("metadata") { put("work", request.work.name) }
        }.toString()

    private companion object {
        val JSON = "application/json".toMediaType()
        const val IDLE_CONNECTION_SECONDS = 30L
    }
}
