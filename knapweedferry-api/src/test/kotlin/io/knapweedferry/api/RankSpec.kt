package io.knapweedferry.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a reordering of the ranks, which queues compare by ordinal. */
internal class RankSpec {
    @Test
    fun `urgent work sorts first`() {
        assertEquals(listOf(Rank.URGENT, Rank.STANDARD, Rank.BACKGROUND), Rank.entries.sorted())
    }
}
