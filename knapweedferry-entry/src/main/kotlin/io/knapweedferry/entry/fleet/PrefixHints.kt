package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.policy.prefix.PrefixHashes
import io.knapweedferry.policy.prefix.PrefixIndex
import kotlin.time.TimeSource

/** Which prefill endpoint has probably cached the start of a prompt, from the prefills that this entry asked for. */
internal class PrefixHints(
    timeSource: TimeSource,
    private val charsPerToken: Int = CHARS_PER_TOKEN,
) {
    private val index = PrefixIndex()
    private val start = timeSource.markNow()

    fun hashesOf(
        model: ModelName,
        prompt: String,
    ): List<String> = PrefixHashes.of(model.value, prompt)

    fun prefilled(
        endpoint: EndpointId,
        hashes: List<String>,
    ) {
        index.recordPrefill(endpoint, hashes, nowMs())
    }

    fun cachedTokens(
        endpoint: EndpointId,
        hashes: List<String>,
    ): Int = index.cachedBlocks(endpoint, hashes, nowMs()) * PrefixHashes.BLOCK_CHARS / charsPerToken

    private fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
