package io.knapweedferry.entry.http

import io.javalin.http.Context
import io.knapweedferry.entry.pipeline.AnswerSink
import io.knapweedferry.entry.pipeline.CallerDisconnectedException
import io.knapweedferry.entry.pipeline.ModelJob
import kotlinx.serialization.json.Json
import java.io.IOException

/**
 * Writes an answer as server-sent events. The response starts with the first token, so that an earlier error can still set the
 * HTTP status. Each event id contains endpoint, attempt and next position, so that the caller can resume through any entry.
 */
internal class EventStreamSink(
    private val context: Context,
    private val job: ModelJob,
    private val createdAtSeconds: Long,
) : AnswerSink {
    var started: Boolean = false
        private set

    override fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    ) {
        val events =
            texts.withIndex().joinToString("") { (index, text) ->
                event("$endpoint/$attempt/${position + index + 1}", chunk(ChatChunk.Delta(text), null))
            }
        write(events)
    }

    override fun keepAlive() {
        if (started) write(": keep-alive\n\n") else CallerDisconnectProbe.send(context)
    }

    fun finish(finishReason: String) {
        write(event(null, chunk(ChatChunk.Delta(), finishReason)) + "data: [DONE]\n\n")
    }

    /** Ends a started stream with an error event, so that callers can tell it from a complete answer. */
    fun fail(problem: ProblemDetail) {
        write("event: error\ndata: ${Json.encodeToString(problem)}\n\n")
    }

    private fun chunk(
        delta: ChatChunk.Delta,
        finishReason: String?,
    ): String {
        val choice = ChatChunk.Choice(0, delta, finishReason)
        return Json.encodeToString(
            ChatChunk(id = job.requestId.value, created = createdAtSeconds, model = job.model.value, choices = listOf(choice)),
        )
    }

    private fun event(
        id: String?,
        data: String,
    ): String = if (id == null) "data: $data\n\n" else "id: $id\ndata: $data\n\n"

    private fun write(text: String) {
        if (!started) start()
        try {
            val output = context.res().outputStream
            output.write(text.encodeToByteArray())
            output.flush()
        } catch (error: IOException) {
            throw CallerDisconnectedException(error)
        }
    }

    private fun start() {
        started = true
        context.status(STATUS_OK)
        context.res().contentType = "text/event-stream; charset=utf-8"
        context.header("Cache-Control", "no-store")
        context.header("X-Accel-Buffering", "no")
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
