package io.knapweedferry.policy.placement

/** Weights of a [ScoredPlacement]; all delays are in milliseconds. */
public data class PlacementWeights(
    /** Half-life of a load report; roughly the time in which the queue of a busy endpoint changes. */
    val loadHalfLifeMs: Long = 500,
    /** Expected delay per request from this entry that is in progress at the endpoint. */
    val perOutstandingRequestMs: Double = 5.0,
    /** Expected delay per KV cache block that the endpoint currently lacks. */
    val perMissingKvBlockMs: Double = 20.0,
    /** Prefill time of 1,000 prompt tokens. */
    val prefillMsPerThousandTokens: Double = 50.0,
    /** Fraction of a cache hint that counts; hints arrive late and are incomplete. */
    val cacheHintWeight: Double = 0.8,
    /** Round-trip time to another availability zone. */
    val crossZoneMs: Double = 3.0,
    /** Scores within this distance are treated as equal; it reflects the precision of the estimates. */
    val tieToleranceMs: Double = 10.0,
)
