package io.knapweedferry.policy.prefix

import io.knapweedferry.api.EndpointId
import java.util.concurrent.ConcurrentHashMap

/**
 * Approximate index of the prompt prefixes that endpoints have cached, built from own prefills and from cache events, which
 * arrive late and can be lost. Entries may be wrong and influence placement only. Holds at most [maxPrefixes] per endpoint.
 * Thread safe.
 */
public class PrefixIndex(
    private val maxPrefixes: Int = DEFAULT_MAX_PREFIXES,
    /** Age at which an unconfirmed prefix is ignored. */
    private val maxAgeMs: Long = DEFAULT_MAX_AGE_MS,
) {
    private val byEndpoint = ConcurrentHashMap<EndpointId, EndpointPrefixes>()

    /** Records that [endpoint] has just computed or used the prefixes of a prompt, shortest first. */
    public fun recordPrefill(
        endpoint: EndpointId,
        prefixHashes: List<String>,
        nowMs: Long,
    ) {
        val prefixes = prefixesOf(endpoint)
        // The shortest prefix is confirmed last and thus evicted last, because more prompts share it.
        prefixHashes.take(maxPrefixes).asReversed().forEach { prefixes.confirm(it, nowMs) }
    }

    /** Applies a cache event of [endpoint]; returns false if it is a duplicate or older than an applied one. */
    public fun applyEvent(
        endpoint: EndpointId,
        sequence: Long,
        prefixHash: String,
        cached: Boolean,
        nowMs: Long,
    ): Boolean = prefixesOf(endpoint).apply(sequence, prefixHash, cached, nowMs, maxAgeMs / GAP_MAX_AGE_DIVISOR)

    /** Number of leading blocks of a prompt that [endpoint] has probably cached. */
    public fun cachedBlocks(
        endpoint: EndpointId,
        prefixHashes: List<String>,
        nowMs: Long,
    ): Int = byEndpoint[endpoint]?.cachedBlocks(prefixHashes, nowMs - maxAgeMs) ?: 0

    /** Removes all prefixes of [endpoint] after a restart of its engine, which also restarts the event sequence. */
    public fun reset(endpoint: EndpointId) {
        byEndpoint[endpoint]?.reset()
    }

    /** Removes all endpoints that are not in [endpoints]. */
    public fun retain(endpoints: Set<EndpointId>) {
        byEndpoint.keys.retainAll(endpoints)
    }

    private fun prefixesOf(endpoint: EndpointId) = byEndpoint.computeIfAbsent(endpoint) { EndpointPrefixes(maxPrefixes) }

    public companion object {
        /** About 60 KB per endpoint, so that a subset of some dozens takes a few megabytes. */
        public const val DEFAULT_MAX_PREFIXES: Int = 512

        /** Default age limit of an unconfirmed prefix. */
        public const val DEFAULT_MAX_AGE_MS: Long = 60_000

        /** After a gap in the event sequence, only prefixes confirmed within a quarter of the maximum age are kept. */
        private const val GAP_MAX_AGE_DIVISOR = 4
    }
}
