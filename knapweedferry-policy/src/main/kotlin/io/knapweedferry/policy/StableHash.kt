package io.knapweedferry.policy

import java.nio.ByteBuffer
import java.security.MessageDigest

/** String hash that is stable across processes and releases, because processes must agree on the selections based on it. */
internal object StableHash {
    private const val SEPARATOR: Byte = 0x1f

    /** Returns the first 64 bits of a SHA-256 digest; the separator distinguishes ("ab", "c") from ("a", "bc"). */
    fun of(vararg parts: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        for (part in parts) {
            digest.update(part.encodeToByteArray())
            digest.update(SEPARATOR)
        }
        return ByteBuffer.wrap(digest.digest()).getLong()
    }
}
