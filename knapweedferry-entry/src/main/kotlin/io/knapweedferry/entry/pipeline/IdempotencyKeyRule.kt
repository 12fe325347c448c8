package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import java.time.InstantSource
import java.util.UUID

/**
 * Decides which calls need a key. Work that must not be repeated needs a version 7 UUID, because the age of the key shows
 * whether the log still keeps every claim that may have been made for it.
 */
internal class IdempotencyKeyRule(
    private val clock: InstantSource,
) {
    fun keyFor(
        repeatable: Boolean,
        header: String?,
    ): Either<Refusal, IdempotencyKey?> {
        if (repeatable) return null.right()
        if (header == null) return Refusal(RefusalReason.KEY_REQUIRED).left()
        val uuid = runCatching { UUID.fromString(header) }.getOrNull() ?: return invalid("it is not a UUID")
        if (uuid.version() != TIME_ORDERED_VERSION) return invalid("it has version ${uuid.version()}")
        val madeAtMs = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS
        if (madeAtMs > clock.millis() + MAX_SKEW_MS) return invalid("it was made in the future")
        return IdempotencyKey(uuid.toString()).right()
    }

    private fun invalid(detail: String) = Refusal(RefusalReason.KEY_INVALID, detail).left()

    private companion object {
        const val TIME_ORDERED_VERSION = 7
        const val TIMESTAMP_SHIFT_BITS = 16
        const val MAX_SKEW_MS = 5_000L
    }
}
