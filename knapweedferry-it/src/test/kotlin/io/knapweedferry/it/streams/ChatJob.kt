package io.knapweedferry.it.streams

import io.knapweedferry.it.Caller
import io.knapweedferry.testing.standin.StandInAnswer

/** A chat request whose answer is known in advance. */
internal data class ChatJob(
    val requestId: String,
    val tokens: Int,
    val stream: Boolean = true,
    val work: String = "liner-survey",
    val filler: String = "",
) {
    private val text = "$requestId $filler"

    /** Texts of all tokens that the caller must receive. */
    val expected: List<String> = StandInAnswer("user: $text [[answer=$tokens]]", MAX_TOKENS).texts()

    val body: String get() = Caller.chat(work, text, tokens, stream)

    private companion object {
        const val MAX_TOKENS = 2048
    }
}
