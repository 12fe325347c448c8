package io.knapweedferry.policy.routing

/** Cost of an endpoint for one request by cause, in milliseconds. Parts that don't apply to the kind of endpoint are 0. */
public data class EndpointCostParts(
    /** Time of a plain service for the request, and for the requests of this entry before it. */
    val serviceMs: Double = 0.0,
    /** Time of an engine to read the prompt, and those of this entry before it. */
    val prefillMs: Double = 0.0,
    /** Slowdown by the requests of this entry in the engine's batch. */
    val batchMs: Double = 0.0,
    /** Wait for KV cache that requests of this entry occupy. */
    val kvWaitMs: Double = 0.0,
    val zoneMs: Double,
    val avoidedMs: Double,
    val failureMs: Double,
    val overdueMs: Double,
    /** See [FillOrder.costMs]. */
    val fillOrderMs: Double = 0.0,
    /** Preference for fast or slow engines by the length of the answer. */
    val speedMs: Double = 0.0,
) {
    val totalMs: Double
        get() = fillOrderMs + speedMs + (serviceMs + prefillMs + batchMs + kvWaitMs) + (zoneMs + avoidedMs + failureMs + overdueMs)
}
