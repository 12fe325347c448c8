package io.knapweedferry.entry.http

import io.javalin.http.Context
import io.knapweedferry.entry.pipeline.AnswerSink

/** Sink of a caller who waits for the whole answer; the pipeline keeps the tokens. */
internal class WholeAnswerSink(
    private val context: Context,
) : AnswerSink {
    override fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    ): Unit = Unit

    override fun keepAlive(): Unit = CallerProbe.send(context)
}
