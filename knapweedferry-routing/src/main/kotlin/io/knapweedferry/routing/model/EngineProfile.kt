package io.knapweedferry.routing.model

/** Capacity limits of the model engines of one service. */
public data class EngineProfile(
    /** Tokens that the KV cache holds for running requests and cached prefixes together. */
    val kvCapacityTokens: Int,
    /** Maximum lifetime of a reservation; null if the engines do not support reservations. */
    val maxReservationMs: Long?,
)
