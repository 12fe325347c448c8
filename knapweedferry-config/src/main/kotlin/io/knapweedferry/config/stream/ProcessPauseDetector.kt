package io.knapweedferry.config.stream

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Detects pauses of the process, such as a suspended virtual machine, by gaps between periodic checks. After a pause the
 * local configuration may be outdated; it is fresh again once a read that started after the pause has completed.
 */
internal class ProcessPauseDetector(
    private val checkIntervalMs: Long,
    private val thresholdMs: Long,
    private val timeSource: TimeSource,
) {
    private val pauses = AtomicInteger()

    @Volatile private var lastCheck: TimeMark = timeSource.markNow()

    @Volatile private var pausesAtLastRead = 0

    /** Number of pauses so far; get it before a read and pass it to [markRead] afterwards. */
    val pauseCount: Int get() = pauses.get()

    /** True if no pause occurred since the last completed read, including a pause that the next check has yet to detect. */
    val isFresh: Boolean
        get() = pausesAtLastRead == pauses.get() && lastCheck.elapsedNow().inWholeMilliseconds <= thresholdMs

    /** Records the completion of a read that started when [pauseCount] was [pauseCountBefore]. */
    fun markRead(pauseCountBefore: Int) {
        pausesAtLastRead = pauseCountBefore
    }

    /** Checks for pauses until cancelled and calls [onPause] with the length of each gap. */
    suspend fun run(onPause: (gapMs: Long) -> Unit) {
        while (true) {
            val gapMs = lastCheck.elapsedNow().inWholeMilliseconds
            if (gapMs > thresholdMs) {
                pauses.incrementAndGet()
                onPause(gapMs)
            }
            lastCheck = timeSource.markNow()
            delay(checkIntervalMs)
        }
    }
}
