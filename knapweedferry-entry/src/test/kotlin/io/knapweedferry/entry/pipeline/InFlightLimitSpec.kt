package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Rank
import io.knapweedferry.api.RefusalReason
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against an overload that exhausts an entry, and against new requests during a shutdown. */
internal class InFlightLimitSpec {
    @Test
    fun `refuses at the limit until a request ends`() {
        val limit = InFlightLimit(1)
        val permit = limit.tryAdmit(Rank.URGENT).getOrNull()!!
        assertEquals(RefusalReason.ENTRY_FULL, limit.tryAdmit(Rank.URGENT).leftOrNull()?.reason)
        permit.close()
        assertEquals(true, limit.tryAdmit(Rank.URGENT).isRight())
    }

    @Test
    fun `refuses new requests after close and keeps counting those in flight`() {
        val limit = InFlightLimit(2)
        limit.tryAdmit(Rank.URGENT)
        limit.close()
        assertEquals(RefusalReason.SHUTTING_DOWN, limit.tryAdmit(Rank.URGENT).leftOrNull()?.reason)
        assertEquals(1, limit.inFlight)
    }
}
