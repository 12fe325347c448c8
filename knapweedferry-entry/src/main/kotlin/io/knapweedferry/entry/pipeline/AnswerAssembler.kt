package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Tokens

/**
 * Puts the frames of an answer in order and proves its end. Frames of another request or attempt, and positions that were
 * already delivered, are dropped; a gap or a wrong count or digest makes the attempt fail.
 */
internal class AnswerAssembler(
    private val requestId: RequestId,
    firstPosition: Int = 0,
) {
    private val delivered = ArrayList<String>()
    private var digest = AnswerDigest()
    private var attempt = 0

    /** Position of the next token that the caller needs. */
    var position: Int = firstPosition
        private set

    /** Frames that did not belong to the running attempt or came twice. */
    var droppedFrames: Int = 0
        private set

    val texts: List<String> get() = delivered

    /** Starts an attempt; the digest of an attempt covers the texts from its first position on. */
    fun begin(attempt: Int) {
        this.attempt = attempt
        digest = AnswerDigest()
    }

    /** Returns the texts to deliver, or null if the frame leaves a gap. */
    fun accept(frame: Tokens): List<String>? {
        if (frame.requestId != requestId || frame.attempt != attempt) return drop()
        if (frame.position > position) return null
        val fresh = frame.texts.drop(position - frame.position)
        if (fresh.isEmpty()) return drop()
        fresh.forEach(digest::add)
        delivered += fresh
        position += fresh.size
        return fresh
    }

    /** True if the answer is whole. */
    fun isProvedBy(end: AnswerEnd): Boolean =
        end.requestId == requestId && end.attempt == attempt && end.tokenCount == position && end.digest == digest.value

    private fun drop(): List<String> {
        droppedFrames++
        return emptyList()
    }
}
