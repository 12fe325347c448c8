package io.knapweedferry.api

/** Complete response to a request. */
public sealed interface Answer {
    /** Output of a model; [texts] holds one element per token. */
    public data class Generated(
        val texts: List<String>,
        val promptTokens: Int,
        val finishReason: String,
    ) : Answer

    /** HTTP response of a service that is not a model engine. */
    public data class ServiceReply(
        val status: Int,
        val contentType: String,
        val body: String,
    ) : Answer
}
