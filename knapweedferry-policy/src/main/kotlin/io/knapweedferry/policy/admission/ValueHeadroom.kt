package io.knapweedferry.policy.admission

/**
 * Share of an engine's KV cache that must stay free beside a reservation, for more valuable requests that other entries hold:
 * entries don't see each other's queues, so each one leaves the more room the less its request is worth.
 */
public object ValueHeadroom {
    /** Share for a request of [WaitingRequest.valueStep]. */
    public fun share(valueStep: Int): Double = valueStep.coerceIn(0, MAX_STEPS) * SHARE_PER_STEP

    /**
     * About half of a typical request's reservation. In OverloadPlay 0.04 gains least; 0.08 gains value, but serves the least
     * urgent rank less often.
     */
    private const val SHARE_PER_STEP = 0.06

    /** Late requests of all priorities leave the same room; more room for the least urgent ones gained nothing in OverloadPlay. */
    private const val MAX_STEPS = 3
}
