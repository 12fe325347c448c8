package io.knapweedferry.routing.call

/** What the headers of a request say about it. */
public data class CallTraits(
    /** Chosen by the caller; each attempt of a caller has its own. */
    val requestId: String?,
    /** Time that the caller waits for the answer. */
    val deadlineMs: Long?,
    /** Tokens of the prompt; 0 for plain services. */
    val promptTokens: Int,
    /** Upper bound of the tokens of the answer. */
    val maxOutputTokens: Int,
    /** Caller's estimate of the tokens of the answer. */
    val expectedOutputTokens: Int?,
    /** Last event that the caller has of a stream that broke off. */
    val lastEventId: String?,
) {
    /** Tokens of the answer as far as the caller's estimate shows. */
    val likelyOutputTokens: Int get() = minOf(expectedOutputTokens ?: maxOutputTokens, maxOutputTokens)

    /**
     * KV cache to reserve, which stays set aside until the run has grown into it or ended. A run that grows beyond it uses room
     * that is kept free for growth.
     */
    val kvTokens: Int get() = promptTokens + minOf(maxOutputTokens, likelyOutputTokens * 5 / 4 + SPARE_OUTPUT_TOKENS)

    private companion object {
        /** Beside the likely answer, as estimates of short answers are often too low. */
        const val SPARE_OUTPUT_TOKENS = 200
    }
}
