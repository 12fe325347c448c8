package io.knapweedferry.policy.retry

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against retries in step, beyond the largest bound, or with an overflowing bound. */
internal class BackoffSpec {
    @Test
    fun `delays spread over the whole range, which doubles up to a bound`() {
        val backoff = Backoff(baseMs = 10, maxMs = 1_000, Random(1))
        for ((attempt, boundMs) in mapOf(1 to 10, 2 to 20, 4 to 80, 7 to 640, 8 to 1_000, 200 to 1_000)) {
            val delays = (1..2_000).map { backoff.delayMs(attempt) }
            assertTrue(delays.min() <= boundMs / 5 && delays.max() in (boundMs * 4 / 5)..boundMs, "attempt $attempt")
        }
    }
}
