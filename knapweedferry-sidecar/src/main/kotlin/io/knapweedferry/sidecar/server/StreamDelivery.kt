package io.knapweedferry.sidecar.server

import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.DecodeStarted
import io.knapweedferry.api.message.Tokens
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** Delivers one stream to one reader, from a given position to the end. */
internal class StreamDelivery(
    private val key: AttemptKey,
    private val stream: DecodeStream,
    private val gate: AdmissionController,
    private val replies: ErrorReplies,
) {
    private val buffer = stream.buffer

    suspend fun run(
        sink: ReplySink,
        fromPosition: Int,
        announceStart: Boolean,
    ) {
        val reader = stream.attachReader()
        var delivered = false
        try {
            delivered = runWhileCurrent(reader, sink) { sendStart(sink, announceStart) && sendFrom(fromPosition, sink) } ?: false
            if (!delivered && !stream.isCurrent(reader)) {
                replies.fail(sink, key, FailureReason.CANCELLED, "another reader took over the stream")
            }
        } finally {
            stream.detachReader(reader, delivered)
        }
    }

    private suspend fun runWhileCurrent(
        reader: Int,
        sink: ReplySink,
        block: suspend () -> Boolean,
    ): Boolean? =
        coroutineScope {
            val superseded = launch { stream.awaitSuperseded(reader) }
            runUntilCancelled(sink, superseded, block).also { superseded.cancel() }
        }

    private suspend fun sendStart(
        sink: ReplySink,
        announceStart: Boolean,
    ): Boolean {
        if (!announceStart) return true
        val transferMs = buffer.awaitStart() ?: return true
        return sink.send(DecodeStarted(key.requestId, key.attempt, transferMs))
    }

    /** The digest covers only the tokens sent to this reader, because a resuming reader may not have the earlier ones. */
    private suspend fun sendFrom(
        fromPosition: Int,
        sink: ReplySink,
    ): Boolean {
        val digest = AnswerDigest()
        var position = fromPosition
        while (true) {
            val texts = buffer.awaitTokens(position)
            if (texts.isEmpty()) return sendEnd(digest.value, sink)
            if (!sink.send(Tokens(key.requestId, key.attempt, position, texts))) return false
            texts.forEach(digest::add)
            position += texts.size
        }
    }

    private suspend fun sendEnd(
        digest: Long,
        sink: ReplySink,
    ): Boolean =
        when (val outcome = buffer.outcome) {
            is StreamOutcome.Complete ->
                sink.send(AnswerEnd(key.requestId, key.attempt, outcome.tokenCount, digest, outcome.finishReason, gate.load()))
            is StreamOutcome.Failed -> replies.fail(sink, key, outcome.reason, outcome.detail, gate.load())
            null -> false
        }
}
