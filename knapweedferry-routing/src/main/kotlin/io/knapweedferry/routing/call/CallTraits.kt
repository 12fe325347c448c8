package io.knapweedferry.routing.call

import io.knapweedferry.api.PromptPartId
import io.knapweedferry.routing.model.ApiKey

/** Properties of a request that its headers declare. */
public data class CallTraits(
    /** Chosen by the caller, with a new id for each of its retries. */
    val requestId: String?,
    /** Time that the caller waits for the response. */
    val deadlineMs: Long?,
    /** Length of the prompt; 0 for plain services. */
    val promptTokens: Int,
    /** Maximum length of the output. */
    val maxOutputTokens: Int,
    /** Caller's estimate of the output length. */
    val expectedOutputTokens: Int?,
    /** Id of the last event that the caller received of an interrupted stream. */
    val lastEventId: String?,
    /** Parts of the prompt in their order, without the last one, which belongs to this request alone. */
    val sharedPromptParts: List<PromptPartId> = emptyList(),
    /** Null if the request has no credentials; [ApiKey.UNREADABLE] if they are not exactly one key. */
    val apiKey: ApiKey? = null,
) {
    /** Estimated output length: the caller's estimate, or the maximum if there is none. */
    val estimatedOutputTokens: Int get() = (expectedOutputTokens ?: maxOutputTokens).coerceIn(0, maxOutputTokens)

    /**
     * Tokens of KV cache to reserve for the run. They remain reserved until the run has filled them or has ended. A run that
     * needs more uses headroom, which the entries leave unreserved for such runs.
     */
    val kvTokens: Int get() = promptTokens + minOf(maxOutputTokens, estimatedOutputTokens * 5 / 4 + SPARE_OUTPUT_TOKENS)

    private companion object {
        /** Added to the expected output, because estimates of short outputs are often too low. */
        const val SPARE_OUTPUT_TOKENS = 200
    }
}
