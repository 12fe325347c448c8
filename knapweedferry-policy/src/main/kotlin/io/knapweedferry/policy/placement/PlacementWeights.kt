package io.knapweedferry.policy.placement

/** What each consideration of a [ScoredPlacement] costs, all in milliseconds of expected delay. */
public data class PlacementWeights(
    /** Age at which a load digest counts for half; about the time in which the queue of a busy endpoint changes. */
    val loadHalfLifeMs: Long = 500,
    /** Delay expected from each request that this entry already has outstanding at the endpoint. */
    val outstandingMs: Double = 5.0,
    /** Delay expected from each piece of memory that the endpoint lacks at the moment. */
    val missingPieceMs: Double = 20.0,
    /** Prefill time of a thousand prompt tokens. */
    val prefillMsPerThousandTokens: Double = 50.0,
    /** Part of a cache hint that is believed; hints are late and have gaps. */
    val hintTrust: Double = 0.8,
    /** Round trip to another availability zone. */
    val otherZoneMs: Double = 3.0,
    /** Scores that differ by less are equal: the estimates are not more precise than this. */
    val toleranceMs: Double = 10.0,
)
