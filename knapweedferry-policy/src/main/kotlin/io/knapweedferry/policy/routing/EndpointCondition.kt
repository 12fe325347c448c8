package io.knapweedferry.policy.routing

/** Everything about one endpoint that its choice depends on. */
public data class EndpointCondition(
    val load: EndpointLoad,
    val slots: Int,
    /** 0 for plain services. */
    val kvCapacityTokens: Int,
    val isSameZone: Boolean,
    val isAvoided: Boolean,
    val failureShare: Double,
    val slowness: Double,
    /** Longest time that a request has been without any answer beyond what is usual. */
    val overdueMs: Long,
)
