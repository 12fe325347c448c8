package io.knapweedferry.policy.routing

/**
 * Estimates which share of a service's engines its requests need in the prefill stage, from the runs that completed. A run
 * occupies a prefill engine while its prompt is read, and a part of a decode engine's KV cache until it ends; the share is
 * right when a burst that fills the decode engines keeps the prefill engines just below saturation. Answers bursts of long
 * prompts or long outputs, and engines of any size and speed. No I/O; confined to one thread.
 */
public class StageDemand {
    private var prefillMs = PRIOR_RUNS * PRIOR_PREFILL_MS
    private var decodeMs = PRIOR_RUNS * PRIOR_PREFILL_MS / PREFILL_UTILISATION * (1 - PRIOR_SHARE) / PRIOR_SHARE

    /** Share of the engines that should be in the prefill stage, between 0 and 1. */
    public val prefillShare: Double
        get() = (prefillMs / PREFILL_UTILISATION).let { it / (it + decodeMs) }

    /**
     * Records a completed run: [runPrefillMs] is the time that a prefill engine needs for its prompt, and [kvShare] the part of
     * a decode engine's KV cache that it held for [heldMs].
     */
    public fun recordRun(
        runPrefillMs: Double,
        kvShare: Double,
        heldMs: Long,
    ) {
        prefillMs = prefillMs * DECAY + runPrefillMs
        decodeMs = decodeMs * DECAY + kvShare.coerceIn(0.0, 1.0) * heldMs
    }

    private companion object {
        /** A queue of prompts at a busier stage takes longer than reading them. */
        const val PREFILL_UTILISATION = 0.75

        /** Assumed until runs are known, and weighted like [PRIOR_RUNS] runs. */
        const val PRIOR_SHARE = 0.22
        const val PRIOR_PREFILL_MS = 100.0
        const val PRIOR_RUNS = 30

        /** About the last 300 runs count, so that a few slow engines do not move others between the stages. */
        const val DECAY = 1 - 1.0 / 300
    }
}
