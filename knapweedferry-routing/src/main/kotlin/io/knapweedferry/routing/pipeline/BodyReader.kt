package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.ResponsePart
import java.io.ByteArrayOutputStream

/** Reads the body of an answer that is wanted as a whole, up to a limit. */
internal object BodyReader {
    /** Bounds the memory of one answer of a plain service; the usual ones have a few KB. */
    const val MAX_BYTES = 1024 * 1024

    /** Answers to the router's own requests, and failures of engines, have some hundred bytes. */
    const val MAX_SHORT_BYTES = 64 * 1024

    suspend fun read(
        maxBytes: Int,
        next: suspend () -> ResponsePart,
    ): Either<AttemptFailure, ByteArray> {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = next()) {
                is ResponsePart.Data -> body.write(part.bytes)
                is ResponsePart.Broken -> return AttemptFailure.NoResponse(part.detail).left()
                ResponsePart.End -> return body.toByteArray().right()
            }
            if (body.size() > maxBytes) return AttemptFailure.NoResponse("answer exceeds $maxBytes bytes").left()
        }
    }
}
