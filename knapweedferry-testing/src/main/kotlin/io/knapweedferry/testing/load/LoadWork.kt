package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A kind of work in the mix: either a chat completion of [model] or a call of [service]. */
@Serializable
public data class LoadWork(
    val name: String,
    /** Rank that the configuration gives this kind of work, in lower case. */
    val rank: String,
    @SerialName("rate_per_second")
    val ratePerSecond: Double,
    val model: String? = null,
    @SerialName("prompt_tokens")
    val promptTokens: TokenDistribution = TokenDistribution(DEFAULT_PROMPT_TOKENS),
    @SerialName("answer_tokens")
    val answerTokens: TokenDistribution = TokenDistribution(DEFAULT_ANSWER_TOKENS),
    /** Tokens at the start of each prompt that all requests about the same document share. */
    @SerialName("shared_prefix_tokens")
    val sharedPrefixTokens: Int = 0,
    /** Number of different documents. */
    val documents: Int = 1,
    val service: String? = null,
    val operation: String? = null,
    val body: String = "{}",
    /** False sends an Idempotency-Key with each call. */
    val repeatable: Boolean = true,
) {
    /** Whether this is a chat completion. */
    val isChat: Boolean get() = service == null

    private companion object {
        const val DEFAULT_PROMPT_TOKENS = 500
        const val DEFAULT_ANSWER_TOKENS = 50
    }
}
