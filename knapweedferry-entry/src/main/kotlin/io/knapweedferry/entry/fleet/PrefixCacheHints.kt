package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.policy.prefix.PrefixHashes
import io.knapweedferry.policy.prefix.PrefixIndex
import kotlin.time.TimeSource

/** Estimates which endpoints have a prompt prefix in their KV cache, based on the prefills that this entry requested. */
internal class PrefixCacheHints(
    timeSource: TimeSource,
    private val charsPerToken: Int = CHARS_PER_TOKEN,
) {
    private val index = PrefixIndex()
    private val startMark = timeSource.markNow()

    fun hashesOf(
        model: ModelName,
        prompt: String,
    ): List<String> = PrefixHashes.of(model.value, prompt)

    fun recordPrefill(
        endpoint: EndpointId,
        hashes: List<String>,
    ) {
        index.recordPrefill(endpoint, hashes, nowMs())
    }

    /** Estimated number of leading prompt tokens that [endpoint] has cached. */
    fun cachedTokens(
        endpoint: EndpointId,
        hashes: List<String>,
    ): Int = index.cachedBlocks(endpoint, hashes, nowMs()) * PrefixHashes.BLOCK_CHARS / charsPerToken

    private fun nowMs(): Long = startMark.elapsedNow().inWholeMilliseconds

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
