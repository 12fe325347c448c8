package io.knapweedferry.routing.model

/** Limits of the model engines of one service. */
public data class EngineProfile(
    val slots: Int,
    /** Tokens that the KV cache holds for running requests and cached prefixes together. */
    val kvCapacityTokens: Int,
    /** Time for which the result of a prefill is kept for its decode. */
    val kvHandleTtlMs: Long,
    /** Longest time of a reservation; null where engines take none. */
    val maxReservationMs: Long?,
)
