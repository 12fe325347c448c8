package io.knapweedferry.api.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One endpoint of the service in the explanation of a placement. */
@Serializable
public data class EndpointPlacement(
    val endpoint: EndpointId,
    val zone: AvailabilityZone,
    /** Null for a plain service. */
    val stage: String? = null,
    /** Reason why the endpoint is not a candidate; null if it is one. */
    val excluded: String? = null,
    /** True if random jitter can make this endpoint the choice. */
    @SerialName("can_win")
    val canWin: Boolean = false,
    /** Sum of [costsMs]; null if the endpoint can't run the request. */
    @SerialName("cost_ms")
    val costMs: Double? = null,
    /** Cost by cause; causes without a cost are left out. */
    @SerialName("costs_ms")
    val costsMs: Map<String, Double> = emptyMap(),
    /** Requests of the entry that are in flight at the endpoint. */
    @SerialName("own_requests")
    val ownRequests: Int,
    /** KV cache tokens that these requests need. */
    @SerialName("own_kv_tokens")
    val ownKvTokens: Int,
    @SerialName("avoided")
    val isAvoided: Boolean,
    /** From 0 to 1. */
    @SerialName("failure_rate")
    val failureRate: Double,
    /** Observed response time as a multiple of the expected one. */
    @SerialName("latency_ratio")
    val latencyRatio: Double,
)
