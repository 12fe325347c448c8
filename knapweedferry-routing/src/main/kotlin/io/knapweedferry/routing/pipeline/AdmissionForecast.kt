package io.knapweedferry.routing.pipeline

/** What an [AdmissionOrder] expects for a request that has not joined the queue. */
internal class AdmissionForecast(
    /** Number of waiting requests that would be served before it. */
    val ahead: Int,
    /** Expected wait for an engine; null if there are too few observations, as without congestion. */
    val waitMs: Double?,
    /** Cause for which the order would refuse the request at once; null if it would not. */
    val refusal: String?,
)
