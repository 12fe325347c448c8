package io.knapweedferry.policy.admission

/** When the caller of a refused request should come back. */
public object RetryDelay {
    /**
     * Not before [roomAfterMs], and spread by [random] (0 to 1) over a tenth of [remainingMs], the time that the caller has left,
     * so that callers who were refused together don't come back together. Engines that were full for as long as a request could
     * wait stay full for seconds, and callers accept a delay of up to a third of their remaining time.
     */
    public fun ms(
        roomAfterMs: Double,
        remainingMs: Long,
        random: Double,
    ): Long {
        val spreadMs = remainingMs * (MIN_SHARE + (MAX_SHARE - MIN_SHARE) * random)
        return minOf(maxOf(roomAfterMs, spreadMs), remainingMs * MAX_SHARE).toLong()
    }

    private const val MIN_SHARE = 0.2

    /** Less than a third, because the response takes a part of the time to arrive. */
    private const val MAX_SHARE = 0.3
}
