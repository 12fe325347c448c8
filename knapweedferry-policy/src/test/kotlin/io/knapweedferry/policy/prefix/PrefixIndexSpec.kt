package io.knapweedferry.policy.prefix

import io.knapweedferry.api.EndpointId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Guards against hits that outlive evictions, lost events or the age limit, and against unbounded memory. */
internal class PrefixIndexSpec {
    private val endpoint = EndpointId("endpoint")
    private val prompt = PrefixHashes.of("m", "x".repeat(40) + "y".repeat(15), blockChars = 10)

    @Test
    fun `prompts with a common prefix share the hashes of that prefix`() {
        val other = PrefixHashes.of("m", "x".repeat(40) + "z".repeat(10), blockChars = 10)
        assertEquals(prompt.take(4), other.take(4))
        assertNotEquals(prompt[4], other[4])
        assertNotEquals(prompt[0], PrefixHashes.of("other", "x".repeat(40), blockChars = 10)[0])
        assertEquals(5, prompt.toSet().size)
    }

    @Test
    fun `prefills and cache events yield hits until eviction, the age limit or a gap in the events`() {
        val index = PrefixIndex(maxPrefixes = 8, maxAgeMs = 1_000)
        assertEquals(0, index.cachedBlocks(endpoint, prompt, 0))
        index.recordPrefill(endpoint, prompt, 0)
        assertEquals(listOf(5, 5, 0), listOf(0L, 999L, 1_000L).map { index.cachedBlocks(endpoint, prompt, it) })
        index.applyEvent(endpoint, 1, prompt[4], cached = false, 1)
        assertEquals(4, index.cachedBlocks(endpoint, prompt, 1))
        index.applyEvent(endpoint, 2, prompt[4], cached = true, 600)
        assertEquals(false, index.applyEvent(endpoint, 1, prompt[4], cached = false, 600), "a late event must not override a newer one")
        assertEquals(5, index.cachedBlocks(endpoint, prompt, 600))
        index.applyEvent(endpoint, 9, "other", cached = true, 700)
        assertEquals(5, index.cachedBlocks(endpoint, prompt, 700), "confirmed shortly before the gap")
        index.applyEvent(endpoint, 20, "other", cached = true, 900)
        assertEquals(0, index.cachedBlocks(endpoint, prompt, 900))
    }

    @Test
    fun `short prefixes are evicted last`() {
        val index = PrefixIndex(maxPrefixes = 6)
        index.recordPrefill(endpoint, prompt, 0)
        index.recordPrefill(endpoint, listOf("p", "q", "r"), 1)
        assertEquals(3, index.cachedBlocks(endpoint, prompt, 1))
        index.retain(emptySet())
        assertEquals(0, index.cachedBlocks(endpoint, prompt, 1))
    }
}
