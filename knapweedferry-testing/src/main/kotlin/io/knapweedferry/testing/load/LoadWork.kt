package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of work in the load: either chat completions of [model] or calls of [service]. */
@Serializable
public data class LoadWork(
    val name: String,
    /** Rank of this kind of work in the configuration, in lower case. */
    val rank: String,
    @SerialName("rate_per_second")
    val ratePerSecond: Double,
    val model: String? = null,
    @SerialName("prompt_tokens")
    val promptTokens: TokenDistribution = TokenDistribution(DEFAULT_PROMPT_TOKENS),
    @SerialName("answer_tokens")
    val answerTokens: TokenDistribution = TokenDistribution(DEFAULT_ANSWER_TOKENS),
    /** Length of the prompt prefix that all requests about the same document share, in tokens. */
    @SerialName("shared_prefix_tokens")
    val sharedPrefixTokens: Int = 0,
    /** Number of different documents. */
    val documents: Int = 1,
    val service: String? = null,
    val operation: String? = null,
    val body: String = "{}",
    /** Whether the operation may be repeated; if false, each call carries an Idempotency-Key header. */
    val repeatable: Boolean = true,
) {
    /** Whether this kind of work consists of chat completions. */
    val isChat: Boolean get() = service == null

    private companion object {
        const val DEFAULT_PROMPT_TOKENS = 500
        const val DEFAULT_ANSWER_TOKENS = 50
    }
}
