package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.routing.upstream.AnswerPart
import io.knapweedferry.routing.upstream.AttemptFailure
import java.io.ByteArrayOutputStream

/** Reads the body of an answer that is wanted as a whole, up to a limit. */
internal object WholeBody {
    /** Bounds the memory of one answer of a plain service; the usual ones have a few KB. */
    const val MAX_BYTES = 1024 * 1024

    /** Answers to the router's own requests, and failures of engines, have some hundred bytes. */
    const val MAX_SHORT_BYTES = 64 * 1024

    suspend fun read(
        maxBytes: Int,
        next: suspend () -> AnswerPart,
    ): Either<AttemptFailure, ByteArray> {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = next()) {
                is AnswerPart.Data -> body.write(part.bytes)
                is AnswerPart.Broken -> return AttemptFailure.Unanswered(part.detail).left()
                AnswerPart.End -> return body.toByteArray().right()
            }
            if (body.size() > maxBytes) return AttemptFailure.Unanswered("answer exceeds $maxBytes bytes").left()
        }
    }
}
