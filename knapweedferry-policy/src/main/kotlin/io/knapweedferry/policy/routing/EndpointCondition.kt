package io.knapweedferry.policy.routing

/** State of one endpoint that determines its cost for a request. */
public data class EndpointCondition(
    val load: EndpointLoad,
    /** Requests that the endpoint runs concurrently. */
    val slots: Int,
    /** KV cache capacity of an engine; 0 for plain services. */
    val kvCapacityTokens: Int,
    val isSameZone: Boolean,
    /** See [EndpointHealth.isAvoided]. */
    val isAvoided: Boolean,
    /** See [EndpointHealth.failureRate]. */
    val failureRate: Double,
    /** See [EndpointHealth.latencyRatio]. */
    val latencyRatio: Double,
    /** Longest time by which an unanswered request exceeds its usual response time. */
    val overdueMs: Long,
)
