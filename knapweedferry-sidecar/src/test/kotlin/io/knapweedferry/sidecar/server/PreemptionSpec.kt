package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.policy.admission.AdmissionGate
import io.knapweedferry.policy.admission.FifoGate
import io.knapweedferry.policy.admission.GateDecisions
import io.knapweedferry.policy.admission.GateLimits
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.decode
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.reserve
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

/** Guards against preempted attempts that keep engine memory, lose tokens or end without a reason. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class PreemptionSpec {
    @Test
    fun `a preempted stream frees its slot after delivering its tokens, so that its caller can resume`() =
        runTest {
            val fixture = SidecarFixture(this, ::PreemptingGate)
            val running = fixture.stream("low")
            fixture.lease("b")
            advanceTimeBy(100)
            val urgent = fixture.start(reserve("urgent"))
            runCurrent()
            assertInstanceOf(Reserved::class.java, urgent.received.single())
            assertEquals(FailureReason.PREEMPTED, (running.received.last() as AttemptFailed).reason)
            assertEquals(listOf("t0", "t1", "t2"), running.texts)
            assertEquals(emptySet<Any>(), fixture.engine.holding)
        }

    @Test
    fun `a decode request on a preempted lease is refused with the reason`() =
        runTest {
            val fixture = SidecarFixture(this, ::PreemptingGate)
            val lease = fixture.lease("low")
            fixture.lease("b")
            val urgent = fixture.start(reserve("urgent"))
            runCurrent()
            assertInstanceOf(Reserved::class.java, urgent.received.single())
            assertEquals(RefusalReason.PREEMPTED, fixture.start(decode(lease, "low")).refusal)
        }

    /** Preempts the ticket granted first whenever a new ticket is queued. */
    private class PreemptingGate(
        limits: GateLimits,
        private val gate: FifoGate = FifoGate(limits),
    ) : AdmissionGate by gate {
        private val granted = ArrayDeque<TicketId>()

        override fun submit(
            ticket: Ticket,
            nowMs: Long,
        ): GateDecisions {
            val decisions = gate.submit(ticket, nowMs)
            granted += decisions.granted
            return if (decisions.granted.isEmpty()) decisions.copy(preempted = listOf(granted.first())) else decisions
        }
    }
}
