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
 * Validates idempotency keys. A call that must not be repeated needs a UUID of version 7: the timestamp in the key shows
 * whether the log still retains every claim that may have been made under it.
 */
internal class IdempotencyKeyRule(
    private val clock: InstantSource,
) {
    /** Returns the key of a call, or null if the call is [repeatable] and needs none. */
    fun requiredKey(
        repeatable: Boolean,
        header: String?,
    ): Either<Refusal, IdempotencyKey?> {
        if (repeatable) return null.right()
        if (header == null) return Refusal(RefusalReason.KEY_REQUIRED).left()
        val uuid = runCatching { UUID.fromString(header) }.getOrNull() ?: return invalidKey("it is not a UUID")
        if (uuid.version() != TIME_ORDERED_VERSION) return invalidKey("its UUID version is ${uuid.version()}, not $TIME_ORDERED_VERSION")
        val createdAtMs = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS
        if (createdAtMs > clock.millis() + MAX_CLOCK_SKEW_MS) return invalidKey("its timestamp is in the future")
        return IdempotencyKey(uuid.toString()).right()
    }

    private fun invalidKey(detail: String) = Refusal(RefusalReason.KEY_INVALID, detail).left()

    private companion object {
        const val TIME_ORDERED_VERSION = 7
        const val TIMESTAMP_SHIFT_BITS = 16
        const val MAX_CLOCK_SKEW_MS = 5_000L
    }
}
