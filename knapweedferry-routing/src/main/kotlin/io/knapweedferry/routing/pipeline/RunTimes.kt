package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.model.EndpointStage

/** Usual times of one model request at an engine, and how long waiting for one is of use. */
internal class RunTimes(
    private val job: ForwardingJob,
) {
    /** Time to read the prompt, with nothing queued before it. */
    fun readMs(stage: EndpointStage): Double {
        val prefill = stage == EndpointStage.PREFILL
        val tokensPerMs = if (prefill) EndpointChooser.PREFILL_TOKENS_PER_MS else EndpointChooser.DECODE_READ_TOKENS_PER_MS
        return job.call.traits.promptTokens / tokensPerMs
    }

    val firstEventMs: Double get() = readMs(EndpointStage.DECODE) + FIRST_TOKEN_BASE_MS

    private val runMs: Double get() = firstEventMs + job.call.traits.likelyOutputTokens * RUN_MS_PER_TOKEN

    /**
     * Room is of use only while a run that begins then can deliver its first event before the caller abandons the stream, and
     * its last one before the deadline. A request that cannot is given up at once, so that its caller may come back.
     */
    val usefulWaitMs: Long
        get() {
            if (job.reply.hasBegun) return job.remainingMs
            val usefulMs = minOf(job.untilAbandonedMs - firstEventMs * QUEUED_READ_FACTOR, job.remainingMs - runMs)
            return usefulMs.toLong() - GIVE_UP_MARGIN_MS
        }

    companion object {
        /** Set-up and first step of an engine. */
        const val FIRST_TOKEN_BASE_MS = 40.0

        /** Time per token of an engine with some requests in its batch; the platform's engines take 2.6 ms and more for a step. */
        private const val RUN_MS_PER_TOKEN = 3.0

        /** Prompts queue behind others at the engine that reads them. */
        private const val QUEUED_READ_FACTOR = 2.0

        /** Time for a refusal to reach its caller. */
        private const val GIVE_UP_MARGIN_MS = 150L
    }
}
