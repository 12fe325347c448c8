package io.knapweedferry.api.placement

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import kotlinx.serialization.Serializable

/** Where an entry would send a request now, and why; the response to `GET /v1/explain`. */
@Serializable
public data class PlacementReport(
    val request: PlacementRequest,
    val decision: PlacementDecision,
    /** Status of a refusal. */
    val status: Int? = null,
    /** Reason code of a refusal. */
    val reason: String? = null,
    /** What the caller would be told to do after a refusal. */
    val remedy: String? = null,
    /** Null if the steps did not get as far. */
    val service: ServiceName? = null,
    /** Endpoint with the lowest cost before jitter; null if there is no candidate. */
    val choice: EndpointId? = null,
    /** In the order of evaluation. */
    val steps: List<PlacementStep>,
    /** How ties between endpoints are broken. */
    val ties: String,
    /** Candidates by rising cost, then the others. */
    val endpoints: List<EndpointPlacement>,
)
