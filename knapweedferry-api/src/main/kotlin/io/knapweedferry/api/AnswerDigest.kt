package io.knapweedferry.api

import java.util.zip.CRC32C

/**
 * Incremental CRC-32C checksum over the parts of a response. Sender and receiver both compute it, so that missing, duplicate
 * or unrelated parts are detected before the response is treated as complete.
 */
public class AnswerDigest {
    private val crc = CRC32C()

    /** Checksum of the parts added so far. */
    public val value: Long get() = crc.value

    /** Adds the next part, followed by a separator byte, so that "ab","c" and "a","bc" have different checksums. */
    public fun add(text: String) {
        crc.update(text.encodeToByteArray())
        crc.update(SEPARATOR)
    }

    public companion object {
        private const val SEPARATOR = 0x1f

        /** Returns the checksum of a response that consists of [text] only. */
        public fun of(text: String): Long = AnswerDigest().apply { add(text) }.value
    }
}
