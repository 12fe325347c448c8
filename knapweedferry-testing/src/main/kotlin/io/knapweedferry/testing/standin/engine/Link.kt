package io.knapweedferry.testing.standin.engine

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** A link of limited rate whose transfers get equal shares. No bytes move; a transfer only takes its time. */
internal class Link(
    val name: String,
    private val rateBytesPerSecond: Long,
) {
    private val transfers = AtomicInteger()

    private fun share(): Double = rateBytesPerSecond.toDouble() / transfers.get()

    companion object {
        // Short against a transfer of a usual prompt, long enough to keep the cost of many transfers low.
        private val TICK = 5.milliseconds

        /** Suspends while [bytes] pass all [links]; makes no progress while [stalled] is true. */
        suspend fun transfer(
            bytes: Long,
            links: List<Link>,
            timeSource: TimeSource,
            stalled: () -> Boolean,
        ) {
            var left = bytes.toDouble()
            links.forEach { it.transfers.incrementAndGet() }
            try {
                val start = timeSource.markNow()
                var last = Duration.ZERO
                while (left > 0) {
                    delay(TICK)
                    val now = start.elapsedNow()
                    val seconds = (now - last).toDouble(DurationUnit.SECONDS)
                    last = now
                    if (stalled()) continue
                    left -= links.minOfOrNull { it.share() * seconds } ?: return
                }
            } finally {
                links.forEach { it.transfers.decrementAndGet() }
            }
        }
    }
}
