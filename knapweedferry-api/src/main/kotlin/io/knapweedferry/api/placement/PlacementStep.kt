package io.knapweedferry.api.placement

import kotlinx.serialization.Serializable

/** One step of the decision about a request. */
@Serializable
public data class PlacementStep(
    val step: String,
    val result: PlacementResult,
    val detail: String,
)
