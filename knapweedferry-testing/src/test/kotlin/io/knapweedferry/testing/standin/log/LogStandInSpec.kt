package io.knapweedferry.testing.standin.log

import io.knapweedferry.platform.log.AppendRequest
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.settings.LogSettings
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a simulated log with a higher append rate, longer retention or shorter waits than the platform's log. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LogStandInSpec {
    @Test
    fun `records expire by age, and the remaining records keep their offsets`() =
        runTest {
            val log = log(LogSettings(0, retentionMs = 1_000))
            log.append("s", AppendRequest(listOf("a", "b")))
            delay(900)
            log.append("s", AppendRequest(listOf("c")))
            delay(200)
            val page = log.read("s", 0, 10, 0)
            assertEquals(listOf(2L to "c"), page.records.map { it.offset to it.payload })
            assertEquals(2L to 3L, page.firstOffset to page.nextOffset)
        }

    @Test
    fun `appends beyond the rate limit are delayed, and rejected if the delay is too long`() =
        runTest {
            val log = log(LogSettings(0, appendsPerSecond = 100.0, maxWaitMs = 500, appendMs = 0))
            val results = List(100) { async { runCatching { log.append("s", AppendRequest(listOf("$it"))) } } }.awaitAll()
            assertEquals(51, results.count { it.isSuccess })
            assertEquals(setOf(503), results.mapNotNull { (it.exceptionOrNull() as? ErrorResponseException)?.status }.toSet())
            assertEquals(500, currentTime)
        }

    @Test
    fun `a read waits for the first record, but no longer than its wait time`() =
        runTest {
            val log = log(LogSettings(0, appendMs = 0))
            val reading = async { log.read("s", 0, 10, 5_000).records.size to currentTime }
            delay(2_000)
            log.append("s", AppendRequest(listOf("a")))
            assertEquals(1 to 2_000L, reading.await())
            assertEquals(0, log.read("s", 1, 10, 3_000).records.size)
            assertEquals(5_000, currentTime)
        }

    private fun TestScope.log(settings: LogSettings) = LogStandIn(settings, 1, { currentTime }, testTimeSource)
}
