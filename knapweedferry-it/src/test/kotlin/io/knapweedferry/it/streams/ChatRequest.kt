package io.knapweedferry.it.streams

import io.knapweedferry.it.ApiClient
import io.knapweedferry.testing.standin.StandInAnswer

/** Chat request with a predictable answer. */
internal data class ChatRequest(
    val requestId: String,
    val tokens: Int,
    val stream: Boolean = true,
    val workKind: String = "liner-survey",
    val filler: String = "",
) {
    private val text = "$requestId $filler"

    /** Texts of all tokens of the answer, in order. */
    val expected: List<String> = StandInAnswer("user: $text [[answer=$tokens]]", MAX_TOKENS).texts()

    val body: String get() = ApiClient.chatBody(workKind, text, tokens, stream)

    private companion object {
        const val MAX_TOKENS = 2048
    }
}
