package io.knapweedferry.testing.standin.log

import io.knapweedferry.testing.standin.http.StandInFailure
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Spaces appends evenly and refuses those whose turn is too far away. */
internal class AppendRate(
    perSecond: Double,
    private val maxWaitMs: Long,
    timeSource: TimeSource,
) {
    private val lock = Any()
    private val start = timeSource.markNow()
    private val spacing = 1.seconds / perSecond
    private var nextTurn = start.elapsedNow()

    suspend fun await() {
        val wait =
            synchronized(lock) {
                val now = start.elapsedNow()
                val turn = maxOf(now, nextTurn)
                if (turn - now > maxWaitMs.milliseconds) throw StandInFailure.notDone("append rate exceeded")
                nextTurn = turn + spacing
                turn - now
            }
        delay(wait)
    }
}
