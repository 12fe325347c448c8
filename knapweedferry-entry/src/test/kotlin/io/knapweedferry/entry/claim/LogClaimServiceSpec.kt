package io.knapweedferry.entry.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.StreamName
import io.knapweedferry.config.settings.ClaimsSettings
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

/** Guards against two dispatches under one key, and against a wrong "not run" while the log loses responses or is unavailable. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LogClaimServiceSpec {
    private class MemoryLog : AppendLog {
        val records = ArrayList<LogRecord>()
        var losesResponses = false
        var unavailable = false

        override suspend fun append(
            stream: StreamName,
            payloads: List<String>,
        ): Either<PlatformError, Long> {
            delay(1)
            if (unavailable) return PlatformError.NotSent("down").left()
            val first = records.size.toLong()
            payloads.forEach { records += LogRecord(records.size.toLong(), NOW_MS, it) }
            return if (losesResponses) PlatformError.NoResponse("lost").left() else first.right()
        }

        override suspend fun read(
            stream: StreamName,
            fromOffset: Long,
            maxRecords: Int,
            waitMs: Long,
        ): Either<PlatformError, LogPage> {
            delay(2)
            if (unavailable) return PlatformError.NotSent("down").left()
            val page = records.filter { it.offset >= fromOffset }
            if (page.isEmpty()) delay(waitMs.coerceAtMost(POLL_MS))
            return LogPage(0, records.size.toLong(), NOW_MS, page).right()
        }
    }

    private val log = MemoryLog()

    private fun TestScope.service() =
        LogClaimService(ClaimsSettings(partitions = 1, batchMs = 5), log, ProcessId("entry"), backgroundScope).apply { start() }

    private fun request(scope: String = "o/s/p") =
        ClaimRequest(IdempotencyKey(KEY), RequestId("r"), scope, EndpointId("e"), Incarnation("i"), 1, TIMEOUT_MS)

    @Test
    fun `of two claims of one key through two entries, one wins and the other gets the winner`() =
        runTest {
            val first = service().claim(request())
            val second = service().claim(request())
            val won = assertInstanceOf(ClaimDecision.Won::class.java, first)
            assertEquals(won.claim, assertInstanceOf(ClaimDecision.HeldBy::class.java, second).claim)
        }

    @Test
    fun `a claim whose append response was lost is found in the log and not appended again`() =
        runTest {
            log.losesResponses = true
            assertInstanceOf(ClaimDecision.Won::class.java, service().claim(request()))
            assertEquals(1, log.records.size)
        }

    @Test
    fun `nothing is claimed while the log is unavailable`() =
        runTest {
            val service = service()
            testScheduler.advanceTimeBy(POLL_MS)
            log.unavailable = true
            assertInstanceOf(ClaimDecision.NotClaimed::class.java, service.claim(request()))
        }

    @Test
    fun `abandoning a claim releases the key`() =
        runTest {
            val service = service()
            val won = service.claim(request()) as ClaimDecision.Won
            assertEquals(true, service.abandon(won.claim))
            assertInstanceOf(ClaimDecision.Won::class.java, service.claim(request()))
        }

    @Test
    fun `a key that was used in another scope is refused`() =
        runTest {
            val service = service()
            service.claim(request())
            assertInstanceOf(ClaimDecision.NotClaimed::class.java, service.claim(request(scope = "other/s/p")))
        }

    private companion object {
        const val KEY = "01900000-0000-7000-8000-000000000000"
        const val NOW_MS = 0x0190_0000_0000
        const val TIMEOUT_MS = 10_000L
        const val POLL_MS = 1_000L
    }
}
