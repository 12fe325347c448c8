package io.knapweedferry.policy

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of texts that is the same in every process and release, because processes must agree on what it selects. */
internal object StableHash {
    private const val SEPARATOR: Byte = 0x1f

    /** Returns 64 well-mixed bits; a separator keeps ("ab", "c") apart from ("a", "bc"). */
    fun of(vararg parts: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        for (part in parts) {
            digest.update(part.encodeToByteArray())
            digest.update(SEPARATOR)
        }
        return ByteBuffer.wrap(digest.digest()).getLong()
    }
}
