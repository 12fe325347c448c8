package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Prefilled
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.prefill
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against prefills that continue without a caller, and KV caches that stay exported. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class PrefillHandlerSpec {
    @Test
    fun `prefills run one at a time and report their queueing time`() =
        runTest {
            val fixture = SidecarFixture(this)
            val exchanges = listOf("a", "b").map { fixture.start(prefill(it)) }
            exchanges.forEach { it.job.join() }
            assertEquals(listOf(0L, 100L), exchanges.map { (it.received.single() as Prefilled).queuedMs })
        }

    @Test
    fun `a prefill that is cancelled or whose caller disconnects stops in the engine`() =
        runTest {
            val fixture = SidecarFixture(this)
            val running = fixture.start(prefill("a"))
            val waiting = fixture.start(prefill("b"))
            val last = fixture.start(prefill("c"))
            assertTrue(fixture.cancel("b"), "waiting")
            assertFalse(fixture.cancel("a"), "running")
            runCurrent()
            last.sink.disconnect()
            runCurrent()
            for (exchange in listOf(running, waiting)) {
                assertEquals(FailureReason.CANCELLED, (exchange.received.single() as AttemptFailed).reason)
            }
            assertTrue(last.job.isCompleted)
            assertEquals(listOf("a", "c"), fixture.engine.prefills.map { it.id.value.substringAfterLast('.') })
            fixture.assertFree()
        }

    @Test
    fun `an exported cache is released on cancellation`() =
        runTest {
            val fixture = SidecarFixture(this)
            assertInstanceOf(Prefilled::class.java, fixture.ask(prefill("a")).single())
            fixture.cancel("a")
            assertEquals(1, fixture.engine.releasedKv.size)
        }

    @Test
    fun `a prefill that exceeds its deadline fails and frees the engine`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.engine.prefillMs = 60_000
            val exchange = fixture.start(prefill())
            advanceTimeBy(20_001)
            assertEquals(FailureReason.PREFILL_FAILED, (exchange.received.single() as AttemptFailed).reason)
            fixture.assertFree()
        }
}
