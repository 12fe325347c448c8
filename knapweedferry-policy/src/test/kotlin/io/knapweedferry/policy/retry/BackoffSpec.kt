package io.knapweedferry.policy.retry

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against synchronised retries, delays above the maximum, and overflow of the bound. */
internal class BackoffSpec {
    @Test
    fun `delays cover the whole range, whose bound doubles up to the maximum`() {
        val backoff = Backoff(baseMs = 10, maxMs = 1_000, Random(1))
        for ((attempt, boundMs) in mapOf(1 to 10, 2 to 20, 4 to 80, 7 to 640, 8 to 1_000, 200 to 1_000)) {
            val delays = (1..2_000).map { backoff.delayMs(attempt) }
            assertTrue(delays.min() <= boundMs / 5 && delays.max() in (boundMs * 4 / 5)..boundMs, "attempt $attempt")
        }
    }
}
