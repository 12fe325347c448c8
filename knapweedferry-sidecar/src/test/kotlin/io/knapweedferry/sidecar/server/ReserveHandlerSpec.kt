package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.Release
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.ENGINE
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.MODEL
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.decode
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.reserve
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against leases and queued tickets that are never released, and against leases that must not be granted. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ReserveHandlerSpec {
    @Test
    fun `a lease takes a slot and the KV cache blocks of prompt and output, rounded up`() =
        runTest {
            val fixture = SidecarFixture(this)
            val reply = fixture.ask(reserve(promptTokens = 101)).single() as Reserved
            assertEquals(1 to 7, reply.load.freeSlots to reply.load.freeKvBlocks)
        }

    @Test
    fun `a lease that is not used in time expires`() =
        runTest {
            val fixture = SidecarFixture(this)
            val lease = fixture.lease()
            advanceTimeBy(2_001)
            fixture.assertFree()
            assertEquals(RefusalReason.LEASE_EXPIRED, (fixture.ask(decode(lease)).single() as Refused).refusal.reason)
        }

    @Test
    fun `releasing a lease grants the next queued request`() =
        runTest {
            val fixture = SidecarFixture(this)
            val first = fixture.lease("a")
            fixture.lease("b")
            val waiting = fixture.start(reserve("c"))
            assertTrue(waiting.received.isEmpty())
            fixture.ask(Release(ENGINE, first))
            runCurrent()
            assertInstanceOf(Reserved::class.java, waiting.received.single())
        }

    @Test
    fun `a queued request is removed when its caller disconnects or cancels it`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.lease("a", promptTokens = 900)
            val disconnected = fixture.start(reserve("disconnected"))
            val cancelled = fixture.start(reserve("cancelled"))
            disconnected.sink.disconnect()
            assertTrue(fixture.cancel("cancelled"))
            runCurrent()
            assertTrue(disconnected.job.isCompleted && cancelled.job.isCompleted)
            fixture.cancel("a")
            fixture.assertFree()
        }

    @Test
    fun `a repeated attempt is refused as a duplicate and a cancelled attempt cannot be restarted`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.lease()
            assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, fixture.start(reserve()).refusal)
            fixture.cancel()
            assertEquals(RefusalReason.LEASE_EXPIRED, fixture.start(reserve()).refusal)
            assertInstanceOf(Reserved::class.java, fixture.ask(reserve(attempt = 2)).single())
        }

    @Test
    fun `a request that does not match the assignment of the endpoint is refused`() =
        runTest {
            val fixture = SidecarFixture(this)
            val cases =
                listOf(
                    null to RefusalReason.NOT_READY,
                    EndpointAssignment(EndpointRole.MIXED, ModelName("other")) to RefusalReason.WRONG_MODEL,
                    EndpointAssignment(EndpointRole.PREFILL, MODEL) to RefusalReason.WRONG_MODEL,
                    EndpointAssignment(EndpointRole.MIXED, MODEL, draining = true) to RefusalReason.ENDPOINT_LEAVING,
                )
            for ((assignment, reason) in cases) {
                fixture.config = assignment?.let { fixture.config(it) }
                assertEquals(reason, fixture.start(reserve()).refusal)
            }
        }
}
