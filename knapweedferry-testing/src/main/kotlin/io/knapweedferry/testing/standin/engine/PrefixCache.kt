package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.PrefixHashes
import io.knapweedferry.testing.standin.StandInAnswer

/** Least recently used blocks of prompt prefixes. */
internal class PrefixCache(
    capacityTokens: Int,
    private val onChange: (prefixHash: String, cached: Boolean) -> Unit,
) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = LinkedHashMap<String, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Number of leading tokens of [prompt] that are cached; always less than the whole prompt. */
    fun cachedTokens(prompt: String): Int {
        val hits = PrefixHashes.of(prompt).takeWhile { blocks[it] != null }.size
        return minOf(hits * BLOCK_TOKENS, StandInAnswer.promptTokens(prompt) - 1).coerceAtLeast(0)
    }

    fun add(prompt: String) {
        // Longest first, so that the shortest and most widely shared prefixes are the last to be evicted.
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
