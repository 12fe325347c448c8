package io.knapweedferry.entry.http

import io.knapweedferry.entry.pipeline.AnswerSink

/** Sink of a caller who waits for the whole answer; the pipeline keeps the tokens. */
internal object CollectingSink : AnswerSink {
    override fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    ): Unit = Unit

    override fun keepAlive(): Unit = Unit
}
