package io.knapweedferry.policy.retry

import kotlin.random.Random

/**
 * Exponential backoff with full jitter: the delay is uniformly random up to a bound that doubles with each attempt, so that
 * callers that failed together do not retry together.
 */
public class Backoff(
    private val baseMs: Long,
    private val maxMs: Long,
    private val random: Random,
) {
    init {
        require(baseMs in 1..maxMs) { "baseMs must be between 1 and maxMs" }
    }

    /** Returns the delay before [attempt] in milliseconds; the first retry is attempt 1. */
    public fun delayMs(attempt: Int): Long = random.nextLong(boundMs(attempt) + 1)

    /** Checks before each doubling, which prevents overflow. */
    private fun boundMs(attempt: Int): Long =
        generateSequence(baseMs) { if (it >= maxMs / 2) maxMs else it * 2 }.elementAt((attempt - 1).coerceAtLeast(0))
}
