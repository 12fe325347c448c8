package io.knapweedferry.entry.observe

import io.knapweedferry.api.Rank
import io.knapweedferry.entry.pipeline.AnswerSink

/** Measures time to first token and inter-token latency after each write to the caller. */
internal class LatencyMeasuringSink(
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
        observer.tokensDelivered(rank, texts.size)
    }
}
