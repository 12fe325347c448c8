package io.knapweedferry.routing.upstream

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against large responses that together exceed the memory, and against small ones that find no room beside them. */
internal class ResponseMemorySpec {
    private val memory = ResponseMemory(MAX_BYTES)

    private fun grow(share: ResponseMemory.Share): Int {
        var bytes = 0
        while (share.tryGrow(BLOCK_BYTES)) bytes += BLOCK_BYTES
        return bytes
    }

    @ParameterizedTest
    @CsvSource("1", "4", "40", "400")
    fun `large responses stay within the limit together and leave room for a small one`(count: Int) {
        val shares = List(count) { memory.Share() }
        // Round by round, as if all of them arrived at the same time.
        var held = 0L
        do {
            val grown = shares.count { it.tryGrow(BLOCK_BYTES) }
            held += grown.toLong() * BLOCK_BYTES
        } while (grown > 0)
        assertTrue(held <= MAX_BYTES) { "$held bytes" }
        assertTrue(memory.Share().tryGrow(SMALL_BYTES))
    }

    @Test
    fun `a closed share returns its memory`() {
        val first = memory.Share()
        val bytes = grow(first)
        assertFalse(first.tryGrow(BLOCK_BYTES))
        first.close()
        assertEquals(bytes, grow(memory.Share()))
    }

    private companion object {
        const val MAX_BYTES = 16L * 1024 * 1024
        const val BLOCK_BYTES = 1024
        const val SMALL_BYTES = 8 * 1024
    }
}
