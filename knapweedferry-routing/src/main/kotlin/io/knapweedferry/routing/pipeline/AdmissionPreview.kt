package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.fleet.EndpointExclusion

/** What would happen to a request that joined an [AdmissionQueue] now. */
internal class AdmissionPreview(
    /** Number of requests that wait. */
    val waiting: Int,
    val forecast: AdmissionForecast,
    /** Candidate engines that would not be asked for a reservation now. */
    val exclusions: Map<EndpointId, EndpointExclusion>,
)
