package io.knapweedferry.entry.http

import com.fasterxml.uuid.Generators
import io.javalin.http.Context
import io.knapweedferry.api.RequestId
import io.knapweedferry.entry.pipeline.CallerRequest

/** Reads the body and the common headers of caller requests. */
internal object CallerRequestReader {
    const val REQUEST_ID_HEADER = "X-Request-Id"
    private const val MAX_ID_CHARS = 128
    private const val BEARER = "Bearer "
    private val idPattern = Regex("[A-Za-z0-9._:-]{1,$MAX_ID_CHARS}")
    private val idGenerator = Generators.timeBasedEpochGenerator()

    /** Generates a request id if the caller sent no valid one, and echoes the id in the response. */
    fun read(context: Context): CallerRequest {
        val requestId = RequestId(context.header(REQUEST_ID_HEADER)?.takeIf(idPattern::matches) ?: idGenerator.generate().toString())
        context.header(REQUEST_ID_HEADER, requestId.value)
        return CallerRequest(
            requestId = requestId,
            bearerToken = context.header("Authorization")?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER),
            body = context.body(),
            idempotencyKey = context.header("Idempotency-Key"),
            lastEventId = context.header("Last-Event-ID"),
        )
    }
}
