package io.knapweedferry.testing.standin

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Deterministic answer of every stand-in engine to [prompt]. It depends on nothing else, so a client that knows the prompt
 * can verify an answer byte for byte.
 */
public class StandInAnswer(
    prompt: String,
    maxOutputTokens: Int,
) {
    private val hash = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(prompt.encodeToByteArray())).getLong()
    private val fullLength = markedLength(prompt) ?: (MIN_TOKENS + Math.floorMod(hash, TOKEN_RANGE).toInt())

    /** Number of tokens of the answer. */
    public val length: Int = minOf(fullLength, maxOutputTokens)

    /** `length` if the token limit truncates the answer, otherwise `stop`. */
    public val finishReason: String = if (length < fullLength) "length" else "stop"

    /** Text of the token at [position]. */
    public fun text(position: Int): String = " " + java.lang.Long.toString(mix(hash + position) ushr TEXT_SHIFT, RADIX)

    /** Texts of all tokens in order. */
    public fun texts(): List<String> = List(length, ::text)

    // Finalizer of SplitMix64, so that adjacent positions get unrelated texts.
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr MIX_SHIFT_1)) * MIX_FACTOR_1
        val second = (first xor (first ushr MIX_SHIFT_2)) * MIX_FACTOR_2
        return second xor (second ushr MIX_SHIFT_3)
    }

    public companion object {
        private const val CHARS_PER_TOKEN = 4
        private const val MARKER = "[[answer="
        private const val MAX_MARKER_DIGITS = 6
        private const val MIN_TOKENS = 20
        private const val TOKEN_RANGE = 200L

        /** Leaves 20 bits, so that a text has at most four characters in base 36. */
        private const val TEXT_SHIFT = 44
        private const val RADIX = 36
        private const val MIX_SHIFT_1 = 30
        private const val MIX_SHIFT_2 = 27
        private const val MIX_SHIFT_3 = 31
        private const val MIX_FACTOR_1 = -0x40a7b892e31b1a47L
        private const val MIX_FACTOR_2 = -0x6b2fb644ecceee15L

        /** Number of tokens of [prompt], at four characters per token. */
        public fun promptTokens(prompt: String): Int = (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

        private fun markedLength(prompt: String): Int? {
            val start = prompt.lastIndexOf(MARKER)
            if (start < 0) return null
            return prompt
                .substring(start + MARKER.length)
                .takeWhile(Char::isDigit)
                .take(MAX_MARKER_DIGITS)
                .toIntOrNull()
        }
    }
}
