package io.knapweedferry.api

import java.util.zip.CRC32C

/**
 * Running digest over the texts of an answer. Both ends compute it, so that a lost, doubled or foreign part is noticed
 * before the answer counts as whole.
 */
public class AnswerDigest {
    private val crc = CRC32C()

    /** Current value. */
    public val value: Long get() = crc.value

    /** Adds the next text; a separator byte keeps "ab","c" apart from "a","bc". */
    public fun add(text: String) {
        crc.update(text.encodeToByteArray())
        crc.update(SEPARATOR)
    }

    public companion object {
        private const val SEPARATOR = 0x1f

        /** Digest of a single body. */
        public fun of(text: String): Long = AnswerDigest().apply { add(text) }.value
    }
}
