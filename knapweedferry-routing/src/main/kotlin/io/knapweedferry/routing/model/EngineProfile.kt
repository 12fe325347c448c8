package io.knapweedferry.routing.model

/** Limits of the model engines of one service. */
public data class EngineProfile(
    /** Tokens that the KV cache holds for running requests and cached prefixes together. */
    val kvCapacityTokens: Int,
    /** Longest time of a reservation; null where engines take none. */
    val maxReservationMs: Long?,
)
