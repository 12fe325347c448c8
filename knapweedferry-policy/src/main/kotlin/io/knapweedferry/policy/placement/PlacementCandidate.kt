package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadDigest

/** An endpoint that serves the model or service asked for, as far as the entry knows. */
public data class PlacementCandidate(
    val endpoint: EndpointId,
    val address: String,
    val availabilityZone: AvailabilityZone,
    /** Last known load, or null if none was heard. */
    val load: LoadDigest?,
    /** Age of [load]. */
    val loadAgeMs: Long,
    /** Requests that this entry has outstanding at the endpoint. */
    val outstanding: Int,
    /** Prompt tokens that the endpoint may have cached; a hint. */
    val cachedTokensHint: Int,
    /** Memory of the endpoint in all, or null if it is not known. */
    val memoryPieces: Int? = null,
)
