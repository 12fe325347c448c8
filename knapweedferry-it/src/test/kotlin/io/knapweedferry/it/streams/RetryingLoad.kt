package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Callers that retry only what surely did not run, and count every other end but a whole answer as a fault. */
internal class RetryingLoad(
    private val bed: StreamBed,
    private val callers: Int,
) : AutoCloseable {
    val retries = AtomicInteger()
    private val whole = AtomicInteger()
    private val faults = ConcurrentLinkedQueue<String>()
    private val pool = Executors.newFixedThreadPool(callers)
    private var seen = 0

    @Volatile
    private var stopped = false
    private val tasks = List(callers) { caller -> pool.submit(Callable { run(caller) }) }

    /** Waits until every caller can have had a whole answer since now. */
    fun awaitProgress() {
        val target = whole.get() + callers
        bed.await("$callers whole answers; faults $faults", PROGRESS_MS) { whole.get() >= target }
    }

    /** True once [callers] answers came since the call that last returned true. */
    fun progressed(): Boolean {
        if (whole.get() < seen + callers) return false
        seen = whole.get()
        return true
    }

    /** Lets all requests end; returns the number of whole answers and the faults. */
    fun finish(): Pair<Int, List<String>> {
        stopped = true
        tasks.forEach { it.get() }
        return whole.get() to faults.toList()
    }

    override fun close() {
        stopped = true
        pool.shutdown()
    }

    private fun run(caller: Int) {
        var number = 0
        while (!stopped) {
            number++
            val job = ChatJob("load-$caller-$number", 40 + number % 60, stream = number % 3 != 0)
            val result = untilAnswered(job, caller)
            if (result.end == End.WHOLE && result.fault(job) == null) whole.incrementAndGet() else faults += "${job.requestId}: $result"
        }
    }

    private fun untilAnswered(
        job: ChatJob,
        caller: Int,
    ): ChatResult {
        var last = bed.caller.ask(bed.url(caller % 2), job)
        var attempt = 1
        while (last.mayRetry && attempt < MAX_ATTEMPTS) {
            retries.incrementAndGet()
            Thread.sleep(RETRY_PAUSE_MS)
            last = bed.caller.ask(bed.url((caller + attempt) % 2), job)
            attempt++
        }
        return last
    }

    private companion object {
        const val PROGRESS_MS = 20_000L
        const val MAX_ATTEMPTS = 100
        const val RETRY_PAUSE_MS = 50L
    }
}
