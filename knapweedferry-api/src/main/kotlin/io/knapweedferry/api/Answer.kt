package io.knapweedferry.api

/** Whole answer to a request. */
public sealed interface Answer {
    /** Tokens of a model, in order. */
    public data class Generated(
        val texts: List<String>,
        val promptTokens: Int,
        val finishReason: String,
    ) : Answer

    /** Reply of a plain service. */
    public data class ServiceReply(
        val status: Int,
        val contentType: String,
        val body: String,
    ) : Answer
}
