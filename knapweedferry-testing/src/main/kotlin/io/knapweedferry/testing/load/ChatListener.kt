package io.knapweedferry.testing.load

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import okhttp3.Response
import okhttp3.sse.EventSource
import okhttp3.sse.EventSourceListener
import kotlin.time.TimeMark

/** Measures one streamed chat completion. Not thread-safe: the HTTP client calls it from a single thread. */
internal class ChatListener(
    private val request: PlannedRequest,
    private val arrival: TimeMark,
    private val result: CompletableDeferred<RequestResult>,
) : EventSourceListener() {
    private val tokenTimesMs = mutableListOf<Double>()
    private var reportedTokens: Int? = null
    private var hasFinishReason = false

    override fun onEvent(
        eventSource: EventSource,
        id: String?,
        type: String?,
        data: String,
    ) {
        if (data == DONE) return complete()
        val chunk = ProblemReader.parse(data)
        if (type == ERROR || chunk?.get(ERROR) != null) return fail(data, ERROR)
        if (chunk == null) return fail("", "unreadable_event")
        ((chunk["usage"] as? JsonObject)?.get("completion_tokens") as? JsonPrimitive)?.intOrNull?.let { reportedTokens = it }
        val choice = chunk["choices"]?.jsonArray?.firstOrNull() as? JsonObject ?: return
        if ((choice["finish_reason"] as? JsonPrimitive)?.contentOrNull != null) hasFinishReason = true
        val content = ((choice["delta"] as? JsonObject)?.get("content") as? JsonPrimitive)?.contentOrNull
        if (!content.isNullOrEmpty()) tokenTimesMs += elapsedMs()
    }

    override fun onClosed(eventSource: EventSource) {
        fail("", "stream_broke_off")
    }

    override fun onFailure(
        eventSource: EventSource,
        t: Throwable?,
        response: Response?,
    ) {
        val isErrorStatus = response != null && !response.isSuccessful
        val body = if (isErrorStatus) Either.catch { response.body.string() }.getOrNull().orEmpty() else ""
        fail(body, if (isErrorStatus) "http_${response.code}" else t?.javaClass?.simpleName ?: "connection_lost")
    }

    private fun complete() {
        if (!hasFinishReason || tokenTimesMs.isEmpty()) return fail("", "incomplete_answer")
        result.complete(measured(ResultKind.COMPLETED, ""))
    }

    private fun fail(
        text: String,
        fallback: String,
    ) {
        val code = ProblemReader.code(text, fallback)
        result.complete(measured(ProblemReader.kind(text, code, tokenTimesMs.size), code))
    }

    private fun measured(
        kind: ResultKind,
        reason: String,
    ) = RequestResult(
        request = request,
        kind = kind,
        reason = reason,
        firstTokenMs = tokenTimesMs.firstOrNull() ?: elapsedMs(),
        endMs = tokenTimesMs.lastOrNull() ?: elapsedMs(),
        tokens = reportedTokens ?: tokenTimesMs.size,
        tokenGapsMs = tokenTimesMs.zipWithNext { earlier, later -> later - earlier },
    )

    private fun elapsedMs(): Double = arrival.elapsedNow().inWholeMicroseconds / MICROS_PER_MS

    private companion object {
        const val DONE = "[DONE]"
        const val ERROR = "error"
        const val MICROS_PER_MS = 1_000.0
    }
}
