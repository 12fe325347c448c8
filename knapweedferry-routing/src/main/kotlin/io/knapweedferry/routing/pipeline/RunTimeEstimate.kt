package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutedEndpoint

/** Expected run times of one model request at an engine, and the longest useful wait for admission. */
internal class RunTimeEstimate(
    private val job: ForwardingJob,
) {
    /** Time to prefill the prompt on an idle engine. */
    fun prefillMs(stage: EndpointStage): Double {
        val isPrefill = stage == EndpointStage.PREFILL
        val tokensPerMs = if (isPrefill) EndpointSelector.PREFILL_TOKENS_PER_MS else EndpointSelector.DECODE_PREFILL_TOKENS_PER_MS
        return job.call.traits.promptTokens / tokensPerMs
    }

    val timeToFirstEventMs: Double get() = prefillMs(EndpointStage.DECODE) + FIRST_TOKEN_OVERHEAD_MS

    /** Time from admission to the last event. */
    val totalMs: Double get() = timeToFirstEventMs + job.call.traits.estimatedOutputTokens * DECODE_MS_PER_TOKEN

    /** True if this process stops and might end before a run that starts now. */
    val outlastsProcess: Boolean get() = job.outlastsProcess(totalMs)

    /**
     * An admission is useful only while a run that starts then can deliver its first event before the caller abandons the
     * stream and its last event before the deadline. If no such time is left, the request is refused at once, so that its
     * caller can retry.
     */
    val maxQueueWaitMs: Long
        get() {
            if (job.reply.hasStarted) return job.remainingMs
            val usefulMs = minOf(job.timeToAbandonMs - timeToFirstEventMs * QUEUED_PREFILL_FACTOR, job.remainingMs - totalMs)
            return usefulMs.toLong() - REFUSAL_MARGIN_MS
        }

    /** Options of a run at [engine], whose prompt has been prefilled by another engine if [isPrefilled]. */
    fun runOptions(
        engine: RoutedEndpoint,
        isPrefilled: Boolean,
        settings: ForwardingSettings,
    ): AttemptOptions {
        val ownPrefillMs = if (isPrefilled) 0.0 else prefillMs(engine.stage ?: EndpointStage.DECODE)
        return AttemptOptions(
            kvTokens = job.call.traits.kvTokens,
            pendingPrefillTokens = if (isPrefilled) 0 else job.call.traits.promptTokens,
            expectedFirstByteMs = FIRST_TOKEN_OVERHEAD_MS + ownPrefillMs,
            maxIdleMs = if (job.route.isResumable) Long.MAX_VALUE else settings.nonRepeatableMaxIdleMs,
        )
    }

    companion object {
        /** Request set-up and first decode step of an engine. */
        const val FIRST_TOKEN_OVERHEAD_MS = 40.0

        /** Time per token with a few requests in the batch; the platform's engines take at least 2.6 ms per decode step. */
        private const val DECODE_MS_PER_TOKEN = 3.0

        /** Prompts queue behind other prompts at the engine that prefills them. */
        private const val QUEUED_PREFILL_FACTOR = 2.0

        /** Time for a refusal to reach the caller. */
        private const val REFUSAL_MARGIN_MS = 150L
    }
}
