package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.ResponsePart
import java.io.ByteArrayOutputStream

/** Buffers the complete body of a response, up to a size limit. */
internal object BodyReader {
    /** Limits the memory of one response of a plain service; typical ones have a few KB. */
    const val MAX_BODY_BYTES = 1024 * 1024

    /** Responses to the entry's own requests and error responses of engines have a few hundred bytes. */
    const val MAX_SHORT_BODY_BYTES = 64 * 1024

    /** Reads at most [maxBytes], and no more than [mayHold] permits; it is asked for each part. */
    suspend fun read(
        maxBytes: Int,
        next: suspend () -> ResponsePart,
        mayHold: (Int) -> Boolean = { true },
    ): Either<AttemptFailure, ByteArray> {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = next()) {
                is ResponsePart.Data -> {
                    if (!mayHold(part.bytes.size)) return AttemptFailure.NoResponse("no memory for the response").left()
                    body.write(part.bytes)
                }
                is ResponsePart.Broken -> return AttemptFailure.NoResponse(part.detail).left()
                is ResponsePart.End -> return body.toByteArray().right()
            }
            if (body.size() > maxBytes) return AttemptFailure.NoResponse("response exceeds $maxBytes bytes").left()
        }
    }
}
