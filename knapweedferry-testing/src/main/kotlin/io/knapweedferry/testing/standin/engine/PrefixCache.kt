package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.PrefixHashes
import io.knapweedferry.testing.standin.StandInAnswer

/** LRU cache of prompt prefix blocks. */
internal class PrefixCache(
    capacityTokens: Int,
    private val onChange: (prefixHash: String, cached: Boolean) -> Unit,
) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = LinkedHashMap<String, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Number of leading tokens of [prompt] that are cached; always less than the whole prompt, so that at least one is computed. */
    fun cachedTokens(prompt: String): Int {
        val hits = PrefixHashes.of(prompt).takeWhile { blocks[it] != null }.size
        return minOf(hits * BLOCK_TOKENS, StandInAnswer.promptTokens(prompt) - 1).coerceAtLeast(0)
    }

    fun add(prompt: String) {
        // Adds the longest prefix first, so that shorter and more widely shared prefixes are evicted last.
        PrefixHashes.of(prompt).asReversed().forEach { hash ->
            if (blocks.put(hash, Unit) == null) onChange(hash, true)
        }
        while (blocks.size > capacityBlocks) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            onChange(eldest, false)
        }
    }

    fun clear() {
        blocks.keys.forEach { onChange(it, false) }
        blocks.clear()
    }

    private companion object {
        const val BLOCK_TOKENS = PrefixHashes.BLOCK_CHARS / 4
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
