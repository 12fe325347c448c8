package io.knapweedferry.entry.http

import io.javalin.http.Context
import io.knapweedferry.entry.pipeline.AnswerSink

/** Sink for a caller that did not request streaming. Ignores tokens, because the pipeline collects the complete answer. */
internal class NonStreamingSink(
    private val context: Context,
) : AnswerSink {
    override fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    ): Unit = Unit

    override fun keepAlive(): Unit = CallerDisconnectProbe.send(context)
}
