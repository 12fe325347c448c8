package io.knapweedferry.testing.standin.log

import io.knapweedferry.testing.standin.http.ErrorResponseException
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Spaces appends evenly and rejects those that would have to wait too long. */
internal class AppendRateLimiter(
    appendsPerSecond: Double,
    private val maxWaitMs: Long,
    timeSource: TimeSource,
) {
    private val lock = Any()
    private val start = timeSource.markNow()
    private val spacing = 1.seconds / appendsPerSecond
    private var nextSlot = start.elapsedNow()

    suspend fun acquire() {
        val wait =
            synchronized(lock) {
                val now = start.elapsedNow()
                val slot = maxOf(now, nextSlot)
                if (slot - now > maxWaitMs.milliseconds) throw ErrorResponseException.notExecuted("append rate exceeded")
                nextSlot = slot + spacing
                slot - now
            }
        delay(wait)
    }
}
