package io.knapweedferry.entry.pipeline

/** Estimates how many tokens a text has, before any tokenizer saw it. */
internal class TokenEstimate(
    private val charsPerToken: Int = CHARS_PER_TOKEN,
) {
    fun tokensOf(text: String): Int = (text.length + charsPerToken - 1) / charsPerToken

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
