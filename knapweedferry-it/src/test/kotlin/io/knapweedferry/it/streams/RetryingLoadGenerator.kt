package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Concurrent callers that retry only requests that certainly did not run; any other incomplete answer is a failure. */
internal class RetryingLoadGenerator(
    private val fixture: StreamFixture,
    private val callers: Int,
) : AutoCloseable {
    val retries = AtomicInteger()
    private val completed = AtomicInteger()
    private val failures = ConcurrentLinkedQueue<String>()
    private val pool = Executors.newFixedThreadPool(callers)
    private var lastProgressCount = 0

    @Volatile
    private var stopped = false
    private val tasks = List(callers) { caller -> pool.submit(Callable { run(caller) }) }

    /** Waits until as many further answers are complete as there are callers. */
    fun awaitProgress() {
        val target = completed.get() + callers
        fixture.await("$callers complete answers; failures $failures", PROGRESS_LIMIT_MS) { completed.get() >= target }
    }

    /** Whether at least [callers] answers were completed since the last call that returned true. */
    fun hasProgressed(): Boolean {
        if (completed.get() < lastProgressCount + callers) return false
        lastProgressCount = completed.get()
        return true
    }

    /** Waits for the requests in progress; returns the number of complete answers and the failures. */
    fun finish(): Pair<Int, List<String>> {
        stopped = true
        tasks.forEach { it.get() }
        return completed.get() to failures.toList()
    }

    override fun close() {
        stopped = true
        pool.shutdown()
    }

    private fun run(caller: Int) {
        var number = 0
        while (!stopped) {
            number++
            val chat = ChatRequest("load-$caller-$number", 40 + number % 60, stream = number % 3 != 0)
            val result = sendWithRetries(chat, caller)
            val isComplete = result.end == End.WHOLE && result.violation(chat) == null
            if (isComplete) completed.incrementAndGet() else failures += "${chat.requestId}: $result"
        }
    }

    private fun sendWithRetries(
        chat: ChatRequest,
        caller: Int,
    ): ChatResult {
        var last = fixture.client.send(fixture.url(caller % 2), chat)
        var attempt = 1
        while (last.isSafeToRetry && attempt < MAX_ATTEMPTS) {
            retries.incrementAndGet()
            Thread.sleep(RETRY_PAUSE_MS)
            last = fixture.client.send(fixture.url((caller + attempt) % 2), chat)
            attempt++
        }
        return last
    }

    private companion object {
        const val PROGRESS_LIMIT_MS = 20_000L
        const val MAX_ATTEMPTS = 100
        const val RETRY_PAUSE_MS = 50L
    }
}
