package io.knapweedferry.policy.prefix

/** Prefixes that one endpoint may have cached, least recently confirmed first. Thread safe. */
internal class EndpointPrefixes(
    private val maxPrefixes: Int,
) {
    /** Time of the last confirmation by prefix hash. */
    private val confirmedAtMs = LinkedHashMap<String, Long>()
    private var lastSequence: Long? = null

    @Synchronized
    fun confirm(
        prefixHash: String,
        nowMs: Long,
    ) {
        confirmedAtMs.remove(prefixHash)
        confirmedAtMs[prefixHash] = nowMs
        if (confirmedAtMs.size > maxPrefixes) confirmedAtMs.remove(confirmedAtMs.keys.first())
    }

    /** Applies a cache event; returns false if it is not newer than what was applied before. */
    @Synchronized
    fun apply(
        sequence: Long,
        prefixHash: String,
        cached: Boolean,
        nowMs: Long,
        keepAfterGapMs: Long,
    ): Boolean {
        val last = lastSequence
        if (last != null && sequence <= last) return false
        // The missed events may have been evictions, so only what was confirmed lately is still likely.
        if (last != null && sequence > last + 1) confirmedAtMs.values.removeIf { nowMs - it > keepAfterGapMs }
        lastSequence = sequence
        if (cached) confirm(prefixHash, nowMs) else confirmedAtMs.remove(prefixHash)
        return true
    }

    /** Number of leading blocks of [prefixHashes] that are probably cached. */
    @Synchronized
    fun cachedBlocks(
        prefixHashes: List<String>,
        confirmedAfterMs: Long,
    ): Int = prefixHashes.indexOfLast { hash -> (confirmedAtMs[hash] ?: Long.MIN_VALUE) > confirmedAfterMs } + 1

    @Synchronized
    fun reset() {
        lastSequence = null
        confirmedAtMs.clear()
    }
}
