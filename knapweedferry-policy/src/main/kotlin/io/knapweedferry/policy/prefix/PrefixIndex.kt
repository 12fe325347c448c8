package io.knapweedferry.policy.prefix

import io.knapweedferry.api.EndpointId
import java.util.concurrent.ConcurrentHashMap

/**
 * Hints about the prompt prefixes that endpoints have cached, from the own prefills and from cache events, which are late
 * and have gaps. A hint may always be wrong; it only ever influences placement. Memory is bounded by [maxPrefixes] for each
 * endpoint of the subset. Thread safe.
 */
public class PrefixIndex(
    private val maxPrefixes: Int = DEFAULT_MAX_PREFIXES,
    /** Age at which a hint that nothing confirmed is no longer believed. */
    private val maxAgeMs: Long = DEFAULT_MAX_AGE_MS,
) {
    private val byEndpoint = ConcurrentHashMap<EndpointId, EndpointPrefixes>()

    /** Notes that [endpoint] has just computed or used the prefixes of a prompt, shortest first. */
    public fun recordPrefill(
        endpoint: EndpointId,
        prefixHashes: List<String>,
        nowMs: Long,
    ) {
        val prefixes = of(endpoint)
        // The shortest prefix is confirmed last and so forgotten last: more prompts share it.
        prefixHashes.take(maxPrefixes).asReversed().forEach { prefixes.confirm(it, nowMs) }
    }

    /** Applies a cache event of [endpoint]; returns false if it is a duplicate or overtaken by a newer one. */
    public fun applyEvent(
        endpoint: EndpointId,
        sequence: Long,
        prefixHash: String,
        cached: Boolean,
        nowMs: Long,
    ): Boolean = of(endpoint).apply(sequence, prefixHash, cached, nowMs, maxAgeMs / GAP_DIVISOR)

    /** Number of leading blocks of a prompt that [endpoint] has probably cached. */
    public fun cachedBlocks(
        endpoint: EndpointId,
        prefixHashes: List<String>,
        nowMs: Long,
    ): Int = byEndpoint[endpoint]?.cachedBlocks(prefixHashes, nowMs - maxAgeMs) ?: 0

    /** Drops what was known of [endpoint], whose engine was restarted; its event sequence starts anew. */
    public fun reset(endpoint: EndpointId) {
        byEndpoint[endpoint]?.reset()
    }

    /** Drops all endpoints that are not in [endpoints]. */
    public fun retain(endpoints: Set<EndpointId>) {
        byEndpoint.keys.retainAll(endpoints)
    }

    private fun of(endpoint: EndpointId) = byEndpoint.computeIfAbsent(endpoint) { EndpointPrefixes(maxPrefixes) }

    public companion object {
        /** About 60 KB for each endpoint, which keeps a subset of some dozens within a few megabytes. */
        public const val DEFAULT_MAX_PREFIXES: Int = 512
        public const val DEFAULT_MAX_AGE_MS: Long = 60_000

        /** After a gap only the latest quarter of the usual age is believed. */
        private const val GAP_DIVISOR = 4
    }
}
