package io.knapweedferry.policy.prefix

/** LRU set of the prompt prefixes that one endpoint has probably cached. Thread safe. */
internal class EndpointPrefixes(
    private val maxPrefixes: Int,
) {
    /** Time of the last confirmation per prefix hash, least recently confirmed first. */
    private val confirmedAtMs = LinkedHashMap<String, Long>()
    private var lastAppliedSequence: Long? = null

    @Synchronized
    fun confirm(
        prefixHash: String,
        nowMs: Long,
    ) {
        confirmedAtMs.remove(prefixHash)
        confirmedAtMs[prefixHash] = nowMs
        if (confirmedAtMs.size > maxPrefixes) confirmedAtMs.remove(confirmedAtMs.keys.first())
    }

    /** Applies a cache event; returns false if [sequence] is not newer than the last applied one. */
    @Synchronized
    fun apply(
        sequence: Long,
        prefixHash: String,
        cached: Boolean,
        nowMs: Long,
        maxAgeAfterGapMs: Long,
    ): Boolean {
        val last = lastAppliedSequence
        if (last != null && sequence <= last) return false
        // The missed events may have been evictions, so only recently confirmed prefixes are kept.
        if (last != null && sequence > last + 1) confirmedAtMs.values.removeIf { nowMs - it > maxAgeAfterGapMs }
        lastAppliedSequence = sequence
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
        lastAppliedSequence = null
        confirmedAtMs.clear()
    }
}
