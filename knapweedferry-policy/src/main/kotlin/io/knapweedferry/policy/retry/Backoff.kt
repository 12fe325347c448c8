package io.knapweedferry.policy.retry

import kotlin.random.Random

/**
 * Waiting time before a retry: uniformly random up to a bound that doubles with each attempt (full jitter), so that callers
 * that failed together do not retry together.
 */
public class Backoff(
    private val baseMs: Long,
    private val maxMs: Long,
    private val random: Random,
) {
    init {
        require(baseMs in 1..maxMs) { "the first bound must lie between 1 ms and the largest bound" }
    }

    /** Returns the time to wait before attempt [attempt]; the first retry is attempt 1. */
    public fun delayMs(attempt: Int): Long = random.nextLong(boundMs(attempt) + 1)

    /** The check before each doubling keeps it from overflowing. */
    private fun boundMs(attempt: Int): Long =
        generateSequence(baseMs) { if (it >= maxMs / 2) maxMs else it * 2 }.elementAt((attempt - 1).coerceAtLeast(0))
}
