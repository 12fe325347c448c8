package io.knapweedferry.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against reordering the ranks, because queues compare their ordinals. */
internal class RankSpec {
    @Test
    fun `ranks sort by decreasing priority`() {
        assertEquals(listOf(Rank.URGENT, Rank.STANDARD, Rank.BACKGROUND), Rank.entries.sorted())
    }
}
