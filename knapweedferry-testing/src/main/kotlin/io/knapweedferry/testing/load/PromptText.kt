package io.knapweedferry.testing.load

import java.util.Random

/** Generates prompts of a given length from short words; each word with its space is about one token. */
internal object PromptText {
    private val WORDS =
        listOf("cap", "web", "tie", "dye", "hem", "zip", "rip", "tab", "pin", "sew", "fit", "dry", "wet", "tag", "net", "row")

    /** Returns the prompt of [request]: a prefix shared by all requests for the same work and document, then text of its own. */
    fun of(
        request: PlannedRequest,
        seed: Long,
    ): String {
        val shared = minOf(request.work.sharedPrefixTokens, request.promptTokens)
        val documentSeed =
            (
                request.work.name
                    .hashCode()
                    .toLong() shl Int.SIZE_BITS
            ) + request.document
        return words(shared, Random(documentSeed)) + words(request.promptTokens - shared, Random(seed xor request.sequence.toLong()))
    }

    private fun words(
        count: Int,
        random: Random,
    ): String = buildString { repeat(count) { append(WORDS[random.nextInt(WORDS.size)]).append(' ') } }
}
