package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary

/** An endpoint that serves the requested model or service, with its state as observed by the entry. */
public data class PlacementCandidate(
    val endpoint: EndpointId,
    val address: String,
    val availabilityZone: AvailabilityZone,
    /** Last reported load, or null if none was received. */
    val load: LoadSummary?,
    /** Age of [load]. */
    val loadAgeMs: Long,
    /** Requests from this entry that are in progress at the endpoint. */
    val outstanding: Int,
    /** Prompt tokens that the endpoint has probably cached. This may be wrong. */
    val cachedTokensHint: Int,
    /** Total number of KV cache blocks of the endpoint, or null if unknown. */
    val totalKvBlocks: Int? = null,
)
