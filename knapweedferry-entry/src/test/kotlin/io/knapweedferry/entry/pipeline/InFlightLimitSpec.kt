package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Rank
import io.knapweedferry.api.RefusalReason
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a flood that exhausts an entry, and against new work during a shutdown. */
internal class InFlightLimitSpec {
    @Test
    fun `a full entry refuses until a request ends`() {
        val limit = InFlightLimit(1)
        val permit = limit.enter(Rank.URGENT).getOrNull()!!
        assertEquals(RefusalReason.ENTRY_FULL, limit.enter(Rank.URGENT).leftOrNull()?.reason)
        permit.close()
        assertEquals(true, limit.enter(Rank.URGENT).isRight())
    }

    @Test
    fun `a stopping entry takes nothing and keeps what is in progress`() {
        val limit = InFlightLimit(2)
        limit.enter(Rank.URGENT)
        limit.close()
        assertEquals(RefusalReason.SHUTTING_DOWN, limit.enter(Rank.URGENT).leftOrNull()?.reason)
        assertEquals(1, limit.count)
    }
}
