package io.knapweedferry.it.config

/** Polls conditions with a time limit. */
internal object Polling {
    private const val POLL_MS = 10L

    /** Waits until [condition] holds and returns the elapsed milliseconds; fails after [limitMs]. */
    fun until(
        limitMs: Long,
        describe: () -> String,
        condition: () -> Boolean,
    ): Long {
        val start = System.nanoTime()
        while (!condition()) {
            check(elapsedMs(start) < limitMs) { "condition did not hold within $limitMs ms: ${describe()}" }
            Thread.sleep(POLL_MS)
        }
        return elapsedMs(start)
    }

    private fun elapsedMs(start: Long) = (System.nanoTime() - start) / 1_000_000
}
