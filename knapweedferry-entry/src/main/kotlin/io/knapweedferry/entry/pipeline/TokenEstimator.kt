package io.knapweedferry.entry.pipeline

/** Estimates the token count of a text from its length, since the text is tokenized only later, by an engine. */
internal class TokenEstimator(
    private val charsPerToken: Int = CHARS_PER_TOKEN,
) {
    fun tokensOf(text: String): Int = (text.length + charsPerToken - 1) / charsPerToken

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
