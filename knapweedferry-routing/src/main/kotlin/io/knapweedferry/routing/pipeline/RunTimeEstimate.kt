package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EndpointStage

/** Usual times of one model request at an engine, and how long waiting for one is of use. */
internal class RunTimeEstimate(
    private val job: ForwardingJob,
) {
    /** Time to read the prompt, with nothing queued before it. */
    fun prefillMs(stage: EndpointStage): Double {
        val prefill = stage == EndpointStage.PREFILL
        val tokensPerMs = if (prefill) EndpointSelector.PREFILL_TOKENS_PER_MS else EndpointSelector.DECODE_PREFILL_TOKENS_PER_MS
        return job.call.traits.promptTokens / tokensPerMs
    }

    val timeToFirstEventMs: Double get() = prefillMs(EndpointStage.DECODE) + FIRST_TOKEN_OVERHEAD_MS

    private val totalMs: Double get() = timeToFirstEventMs + job.call.traits.likelyOutputTokens * DECODE_MS_PER_TOKEN

    /**
     * Room is of use only while a run that begins then can deliver its first event before the caller abandons the stream, and
     * its last one before the deadline. A request that cannot is given up at once, so that its caller may come back.
     */
    val maxQueueWaitMs: Long
        get() {
            if (job.reply.hasStarted) return job.remainingMs
            val usefulMs = minOf(job.timeToAbandonMs - timeToFirstEventMs * QUEUED_PREFILL_FACTOR, job.remainingMs - totalMs)
            return usefulMs.toLong() - REFUSAL_MARGIN_MS
        }

    companion object {
        /** Set-up and first step of an engine. */
        const val FIRST_TOKEN_OVERHEAD_MS = 40.0

        /** Time per token of an engine with some requests in its batch; the platform's engines take 2.6 ms and more for a step. */
        private const val DECODE_MS_PER_TOKEN = 3.0

        /** Prompts queue behind others at the engine that reads them. */
        private const val QUEUED_PREFILL_FACTOR = 2.0

        /** Time for a refusal to reach its caller. */
        private const val REFUSAL_MARGIN_MS = 150L
    }
}
