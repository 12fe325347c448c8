package io.knapweedferry.entry.observe

import io.knapweedferry.api.Rank
import io.knapweedferry.entry.pipeline.AnswerSink

/** Measures the times between tokens as the caller sees them. */
internal class MeasuredSink(
    private val sink: AnswerSink,
    private val observer: RequestObserver,
    private val rank: Rank,
) : AnswerSink by sink {
    override fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    ) {
        sink.tokens(attempt, endpoint, position, texts)
        observer.delivered(rank, texts.size)
    }
}
