package io.knapweedferry.platform.log

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpTransport

/** [AppendLog] that uses `POST` and `GET /streams/{stream}/records`. */
public class HttpAppendLog(
    transport: HttpTransport,
    baseUrl: String,
    private val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) : AppendLog {
    private val http = HttpApiClient(transport.client, baseUrl)

    override suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long> {
        val body = HttpApiClient.jsonBody(AppendRequest.serializer(), AppendRequest(payloads))
        return http.post(recordsUrl(stream), timeoutMs, body, AppendReply.serializer()).map { it.firstOffset }
    }

    override suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<PlatformError, LogPage> {
        val query = mapOf("from" to "$fromOffset", "max" to "$maxRecords", "wait_ms" to "$waitMs")
        return http.get(recordsUrl(stream, query), timeoutMs + waitMs, LogPage.serializer())
    }

    private fun recordsUrl(
        stream: StreamName,
        query: Map<String, String> = emptyMap(),
    ) = http.url("streams", stream.value, "records", query = query)

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 3_000L
    }
}
