package io.knapweedferry.platform.engine

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpTransport
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.builtins.ListSerializer
import okhttp3.RequestBody

/** [Engine] over HTTP with JSON bodies; `POST /generate` responds with newline-delimited JSON. */
public class HttpEngine(
    transport: HttpTransport,
    baseUrl: String,
    private val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) : Engine {
    private val http = HttpApiClient(transport.client, baseUrl)
    private val tokenStream = HttpTokenStream(transport.streaming, http.url("generate"))

    override suspend fun prefill(request: PrefillRequest): Either<PlatformError, PrefillResult> {
        val body = HttpApiClient.jsonBody(PrefillRequest.serializer(), request)
        return http.post(http.url("prefill"), request.timeoutMs, body, PrefillResult.serializer())
    }

    override suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit> {
        val request = ImportRequest(id, source, timeoutMs)
        return post("import", timeoutMs, HttpApiClient.jsonBody(ImportRequest.serializer(), request))
    }

    override fun generate(request: GenerateRequest): Flow<EngineEvent> = tokenStream.run(request)

    override suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit> =
        post("cancel", timeoutMs, HttpApiClient.jsonBody(CancelRequest.serializer(), CancelRequest(id)))

    override suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit> =
        post("release", timeoutMs, HttpApiClient.jsonBody(ReleaseRequest.serializer(), ReleaseRequest(handle)))

    override suspend fun occupyingRequests(): Either<PlatformError, List<EngineRequestId>> =
        http.get(http.url("held"), timeoutMs, ListSerializer(EngineRequestId.serializer()))

    override suspend fun load(): Either<PlatformError, EngineLoad> = http.get(http.url("load"), timeoutMs, EngineLoad.serializer())

    override suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>> {
        val url = http.url("cache-events", query = mapOf("after" to "$afterSequence"))
        return http.get(url, timeoutMs, ListSerializer(CacheEvent.serializer()))
    }

    override suspend fun control(command: EngineCommand): Either<PlatformError, Unit> =
        post("orders", timeoutMs, HttpApiClient.jsonBody(EngineCommand.serializer(), command))

    private suspend fun post(
        path: String,
        timeoutMs: Long,
        body: RequestBody,
    ): Either<PlatformError, Unit> = http.post(http.url(path), timeoutMs, body).map { }

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 3_000L
    }
}
