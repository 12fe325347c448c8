package io.knapweedferry.config.stream

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Notices that the process did not run for a while, by the gap between two ticks. What the process knows is fresh again
 * once a read that began after the gap has finished.
 */
internal class FreezeWatch(
    private val tickMs: Long,
    private val frozenAfterMs: Long,
    private val timeSource: TimeSource,
) {
    private val freezes = AtomicInteger()

    @Volatile private var lastTick: TimeMark = timeSource.markNow()

    @Volatile private var answered = 0

    /** Number of freezes so far; taken before a read and given to [answer] after it. */
    val count: Int get() = freezes.get()

    /** True unless the process was frozen since the read that was last answered. The tick is checked too, as it may be late. */
    val isFresh: Boolean
        get() = answered == freezes.get() && lastTick.elapsedNow().inWholeMilliseconds <= frozenAfterMs

    /** Takes note that a read that began when [count] was [seen] has finished. */
    fun answer(seen: Int) {
        answered = seen
    }

    /** Ticks until cancelled and calls [onFreeze] with the length of each gap. */
    suspend fun run(onFreeze: (gapMs: Long) -> Unit) {
        while (true) {
            val gapMs = lastTick.elapsedNow().inWholeMilliseconds
            if (gapMs > frozenAfterMs) {
                freezes.incrementAndGet()
                onFreeze(gapMs)
            }
            lastTick = timeSource.markNow()
            delay(tickMs)
        }
    }
}
