package io.knapweedferry.it.config

/** Waits for conditions with a bound. */
internal object Waiting {
    private const val POLL_MS = 10L

    /** Milliseconds until [condition] holds; fails after [limitMs]. */
    fun until(
        limitMs: Long,
        what: () -> String,
        condition: () -> Boolean,
    ): Long {
        val start = System.nanoTime()
        while (!condition()) {
            check(elapsedMs(start) < limitMs) { "not within $limitMs ms: ${what()}" }
            Thread.sleep(POLL_MS)
        }
        return elapsedMs(start)
    }

    private fun elapsedMs(start: Long) = (System.nanoTime() - start) / 1_000_000
}
