package io.knapweedferry.testing.standin.engine

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Simulated network link whose bandwidth is divided equally among its transfers. No data is sent; a transfer only takes time. */
internal class Link(
    val name: String,
    private val rateBytesPerSecond: Long,
) {
    private val transfers = AtomicInteger()

    private fun availableBytesPerSecond(): Double = rateBytesPerSecond.toDouble() / transfers.get()

    companion object {
        // Short compared with the transfer of a typical prompt, but long enough for many concurrent transfers to stay cheap.
        private val TICK = 5.milliseconds

        /** Suspends until [bytes] have passed all [links]; makes no progress while [isStalled] returns true. */
        suspend fun transfer(
            bytes: Long,
            links: List<Link>,
            timeSource: TimeSource,
            isStalled: () -> Boolean,
        ) {
            var remainingBytes = bytes.toDouble()
            links.forEach { it.transfers.incrementAndGet() }
            try {
                val start = timeSource.markNow()
                var last = Duration.ZERO
                while (remainingBytes > 0) {
                    delay(TICK)
                    val now = start.elapsedNow()
                    val seconds = (now - last).toDouble(DurationUnit.SECONDS)
                    last = now
                    if (isStalled()) continue
                    remainingBytes -= links.minOfOrNull { it.availableBytesPerSecond() * seconds } ?: return
                }
            } finally {
                links.forEach { it.transfers.decrementAndGet() }
            }
        }
    }
}
