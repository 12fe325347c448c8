package io.knapweedferry.sidecar.server

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Buffers the tokens of one stream, so that readers can start at any position. One writer, any number of readers. */
internal class StreamBuffer(
    /** Position within the answer of the first token in this buffer. */
    val basePosition: Int,
) {
    private val texts = ArrayList<String>()
    private val progress = MutableStateFlow(Progress(basePosition, null, null))

    /** Position of the next token. */
    val nextPosition: Int get() = progress.value.nextPosition

    val outcome: StreamOutcome? get() = progress.value.outcome

    /** Records that generation starts, after a KV cache transfer of [transferMs]. */
    fun start(transferMs: Long) = progress.update { it.copy(transferMs = transferMs) }

    fun append(text: String) {
        synchronized(texts) { texts.add(text) }
        progress.update { it.copy(nextPosition = it.nextPosition + 1) }
    }

    fun end(outcome: StreamOutcome) = progress.update { it.copy(outcome = outcome) }

    /** Suspends until generation starts; returns the transfer time in ms, or null if the stream ended before. */
    suspend fun awaitStart(): Long? = progress.first { it.transferMs != null || it.outcome != null }.transferMs

    /** Suspends until there are tokens from [position] on; empty if the stream ended before [position]. */
    suspend fun awaitTokens(position: Int): List<String> {
        val reached = progress.first { it.nextPosition > position || it.outcome != null }
        val count = (reached.nextPosition - position).coerceIn(0, MAX_TOKENS_PER_READ)
        if (count == 0) return emptyList()
        val from = position - basePosition
        return synchronized(texts) { texts.subList(from, from + count).toList() }
    }

    private data class Progress(
        val nextPosition: Int,
        val transferMs: Long?,
        val outcome: StreamOutcome?,
    )

    companion object {
        /** Bounds the frame size when a reader catches up with a long answer. */
        private const val MAX_TOKENS_PER_READ = 256
    }
}
