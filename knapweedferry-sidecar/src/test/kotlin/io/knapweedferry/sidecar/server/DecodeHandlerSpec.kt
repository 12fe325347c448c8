package io.knapweedferry.sidecar.server

import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.DecodeStarted
import io.knapweedferry.api.message.Message
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.attach
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.decode
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against truncated answers that appear complete, and against engine memory held for disconnected callers. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class DecodeHandlerSpec {
    private val allTexts = List(FakeEngine.TOKENS) { "t$it" }

    @Test
    fun `a stream delivers start, tokens and an end with count and digest, and frees its lease`() =
        runTest {
            val fixture = SidecarFixture(this)
            val exchange = fixture.stream()
            exchange.job.join()
            assertEquals(10L, (exchange.received.first() as DecodeStarted).transferMs)
            assertEquals(allTexts, exchange.texts)
            assertEnd(exchange.received.last(), allTexts)
            fixture.assertFree()
        }

    @Test
    fun `a disconnected reader may resume from its position within the grace period`() =
        runTest {
            val fixture = SidecarFixture(this)
            val first = fixture.stream()
            advanceTimeBy(100)
            first.sink.disconnect()
            advanceTimeBy(1_000)
            val second = fixture.start(attach(first.texts.size))
            assertEquals(allTexts, first.texts + second.texts)
            assertEnd(second.received.last(), second.texts)
            assertEquals(allTexts, fixture.start(attach(0)).texts, "the finished answer is retained")
            advanceTimeBy(5_001)
            assertEquals(RefusalReason.LEASE_EXPIRED, fixture.start(attach(0)).refusal)
        }

    @Test
    fun `a stream without a reader is cancelled in the engine after the grace period`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.engine.tokenMs = 60_000
            fixture.stream().sink.disconnect()
            advanceTimeBy(4_900)
            assertEquals(1, fixture.engine.holding.size)
            advanceTimeBy(200)
            fixture.assertFree()
        }

    @Test
    fun `a new reader ends the exchange of the reader it supersedes`() =
        runTest {
            val fixture = SidecarFixture(this)
            val first = fixture.stream()
            advanceTimeBy(100)
            val second = fixture.start(attach(0))
            advanceTimeBy(1_000)
            assertFailed(FailureReason.CANCELLED, first)
            assertEquals(allTexts, second.texts)
        }

    @Test
    fun `an attempt that fails in the engine ends with a failure reason and frees its memory`() =
        runTest {
            val token = EngineEvent.Token(0, "t0")
            val cases: List<Pair<FailureReason, (FakeEngine) -> Unit>> =
                listOf(
                    FailureReason.TRANSFER_FAILED to { it.importMs = 60_000 },
                    FailureReason.DEADLINE to { it.tokenMs = 60_000 },
                    FailureReason.ENGINE_LOST to { it.events = listOf(token, EngineEvent.Broken(PlatformError.NoResponse("gone"))) },
                    FailureReason.ENGINE_FAILED to { it.events = listOf(token) },
                    FailureReason.INCOMPLETE_ANSWER to { it.events = listOf(token, EngineEvent.Token(2, "t2")) },
                    FailureReason.INCOMPLETE_ANSWER to { it.events = listOf(token, EngineEvent.Finished(2, "stop")) },
                )
            for ((reason, injectFault) in cases) {
                val fixture = SidecarFixture(this)
                injectFault(fixture.engine)
                val exchange = fixture.stream()
                exchange.job.join()
                assertFailed(reason, exchange)
                fixture.assertFree()
            }
        }

    @Test
    fun `a stalled KV cache transfer is tried twice`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.engine.importMs = 60_000
            fixture.stream().job.join()
            assertEquals(2, fixture.engine.imports)
        }

    @Test
    fun `a lease starts a single stream, and a resumed stream starts at the requested position`() =
        runTest {
            val fixture = SidecarFixture(this)
            val lease = fixture.lease()
            val exchange = fixture.start(decode(lease, fromPosition = 4))
            assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, fixture.start(decode(lease, fromPosition = 4)).refusal)
            exchange.job.join()
            assertEquals(allTexts.drop(4), exchange.texts)
            assertEnd(exchange.received.last(), exchange.texts)
        }

    @Test
    fun `cancelling a stream frees engine and lease even if the first cancel calls fail`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.engine.cancelErrors = 2
            val exchange = fixture.stream()
            advanceTimeBy(100)
            assertFalse(fixture.cancel())
            runCurrent()
            assertFailed(FailureReason.CANCELLED, exchange)
            advanceTimeBy(1_000)
            fixture.assertFree()
        }

    private fun assertEnd(
        message: Message,
        texts: List<String>,
    ) {
        val digest = AnswerDigest().apply { texts.forEach(::add) }.value
        val end = assertInstanceOf(AnswerEnd::class.java, message)
        assertEquals(FakeEngine.TOKENS to digest, end.tokenCount to end.digest)
    }

    private fun assertFailed(
        reason: FailureReason,
        exchange: SidecarFixture.Exchange,
    ) {
        val last = exchange.received.last()
        assertTrue(last is AttemptFailed && last.reason == reason) { "expected $reason, received $last" }
    }
}
