package io.knapweedferry.policy.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import java.util.UUID

/** A parsed idempotency key. Keys that differ only in letter case are equal. */
public data class ClaimKey(
    val uuid: UUID,
) {
    /** Creation time of the key, on the clock of the caller. */
    val createdAtMs: Long get() = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT

    /** The key in lower case, the form used in claim records. */
    val key: IdempotencyKey get() = IdempotencyKey(uuid.toString())

    public companion object {
        private const val VERSION = 7
        private const val VARIANT = 2
        private const val TIMESTAMP_SHIFT = 16

        /** Parses [key]. Refuses anything but a UUID of version 7, because other keys carry no creation time. */
        public fun parse(key: IdempotencyKey): Either<Refusal, ClaimKey> {
            val uuid = parseUuid(key.value) ?: return refuse("the key is not a UUID")
            if (uuid.version() != VERSION || uuid.variant() != VARIANT) return refuse("the key is not a UUID of version 7")
            return ClaimKey(uuid).right()
        }

        private fun parseUuid(text: String): UUID? {
            val uuid = Either.catch { UUID.fromString(text) }.getOrNull()
            // The JDK also accepts groups with missing digits, so different texts would map to the same UUID.
            return uuid?.takeIf { it.toString().equals(text, ignoreCase = true) }
        }

        private fun refuse(detail: String) = Refusal(RefusalReason.KEY_INVALID, detail).left()
    }
}
