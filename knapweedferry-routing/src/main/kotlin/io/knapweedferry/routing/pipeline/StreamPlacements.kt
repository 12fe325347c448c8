package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.fleet.ServiceOutage
import io.knapweedferry.routing.model.RoutedEndpoint

/** Creates the [StreamPlacement] that fits the service of a request. */
internal class StreamPlacements(
    private val admissions: AdmissionController,
    private val prefillRunner: PrefillRunner,
    private val selector: EndpointSelector,
    private val services: ServiceAvailability,
    private val settings: ForwardingSettings,
) {
    /** Placement of the request of [job]; [candidates] is evaluated for each attempt. */
    fun of(
        job: ForwardingJob,
        candidates: () -> List<RoutedEndpoint>,
    ): StreamPlacement {
        val engine = job.service.engine ?: return PlainPlacement(job, candidates, selector, settings)
        return EnginePlacement(job, engine, candidates, admissions, prefillRunner, settings)
    }

    /** Null if an endpoint accepts the request of [job]. */
    fun outage(job: ForwardingJob): ServiceOutage? = services.outage(job.service.name)
}
