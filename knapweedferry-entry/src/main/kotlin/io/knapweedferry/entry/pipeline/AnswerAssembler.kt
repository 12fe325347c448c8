package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Tokens

/**
 * Reassembles the token frames of an answer and verifies that it is complete. Drops frames of another request or attempt and
 * positions that were already delivered. A gap, a wrong token count or a wrong digest fails the attempt.
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

    /** Number of frames that were duplicates or belonged to another request or attempt. */
    var droppedFrames: Int = 0
        private set

    val texts: List<String> get() = delivered

    /** Starts the stream of a new attempt, or a new stream of the same one. The digest covers only the texts of the current stream. */
    fun beginStream(attempt: Int) {
        this.attempt = attempt
        digest = AnswerDigest()
    }

    /** Returns the texts of [frame] that were not delivered yet, or null if tokens before the frame are missing. */
    fun accept(frame: Tokens): List<String>? {
        if (frame.requestId != requestId || frame.attempt != attempt) return dropFrame()
        if (frame.position > position) return null
        val newTexts = frame.texts.drop(position - frame.position)
        if (newTexts.isEmpty()) return dropFrame()
        newTexts.forEach(digest::add)
        delivered += newTexts
        position += newTexts.size
        return newTexts
    }

    /** True if the delivered texts match the token count and the digest of [end]. */
    fun isVerifiedBy(end: AnswerEnd): Boolean =
        end.requestId == requestId && end.attempt == attempt && end.tokenCount == position && end.digest == digest.value

    private fun dropFrame(): List<String> {
        droppedFrames++
        return emptyList()
    }
}
