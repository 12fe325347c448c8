package io.knapweedferry.testing.standin.engine

import io.knapweedferry.testing.standin.settings.EnginePerformance
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Chunked prefill in order of priority: a long prompt delays more urgent prefills by at most one chunk. */
internal class PrefillQueue(
    private val performance: EnginePerformance,
    private val memory: MemoryPool,
    private val cache: PrefixCache,
    private val counters: EngineCounters,
    private val slowFactor: () -> Double,
) {
    private val pending = mutableListOf<PrefillJob>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var nextSequence = 0L

    var isComputing = false
        private set

    val size: Int get() = pending.size

    val ids: List<String> get() = pending.map { it.id }

    /** Queues a prefill and suspends until the KV cache of [id] is in memory; returns the number of tokens that were cached. */
    suspend fun run(
        id: String,
        prompt: String,
        totalTokens: Int,
        knownTokens: Int?,
        priority: Int,
    ): Int {
        val job = PrefillJob(id, prompt, totalTokens, knownTokens, priority, nextSequence++)
        pending += job
        wake()
        try {
            return job.done.await()
        } catch (e: CancellationException) {
            abandon(job)
            throw e
        }
    }

    fun wake() {
        wakeUps.trySend(Unit)
    }

    fun contains(id: String): Boolean = pending.any { it.id == id }

    /** Ends the prefill of [id] with [cause]. */
    fun cancel(
        id: String,
        cause: Throwable,
    ) {
        val job = pending.find { it.id == id } ?: return
        abandon(job)
        job.done.completeExceptionally(cause)
    }

    /** Processes the queue until cancelled. */
    suspend fun serve() {
        wakeUps.consumeEach {
            while (true) computeChunk(nextJob() ?: break)
        }
    }

    private fun nextJob(): PrefillJob? =
        pending
            .sortedWith(compareBy<PrefillJob> { it.priority }.thenBy { it.sequence })
            .firstOrNull { memory.tryReserve(it.id, it.totalTokens) }

    private suspend fun computeChunk(job: PrefillJob) {
        val remaining = job.remainingTokens ?: start(job)
        val chunk = minOf(remaining, CHUNK_TOKENS)
        isComputing = true
        delay((chunk * performance.prefillMsPer1000Tokens / TOKENS_PER_PREFILL_UNIT * slowFactor()).milliseconds)
        isComputing = false
        counters.prefilledTokens += chunk
        job.computedTokens += chunk
        job.remainingTokens = remaining - chunk
        if (job !in pending) {
            counters.wastedPrefillTokens += chunk
            return
        }
        if (remaining == chunk) finish(job)
    }

    private fun start(job: PrefillJob): Int {
        job.cachedTokens = job.knownTokens ?: cache.cachedTokens(job.prompt)
        counters.prefills++
        counters.cachedTokens += job.cachedTokens
        return job.totalTokens - job.cachedTokens
    }

    private fun finish(job: PrefillJob) {
        pending -= job
        cache.add(job.prompt)
        job.done.complete(job.cachedTokens)
    }

    private fun abandon(job: PrefillJob) {
        if (!pending.remove(job) || job.remainingTokens == null) return
        counters.wastedPrefills++
        counters.wastedPrefillTokens += job.computedTokens
    }

    private companion object {
        const val CHUNK_TOKENS = 2_048

        /** Prefill time is configured per 1,000 tokens. */
        const val TOKENS_PER_PREFILL_UNIT = 1_000.0
    }
}
