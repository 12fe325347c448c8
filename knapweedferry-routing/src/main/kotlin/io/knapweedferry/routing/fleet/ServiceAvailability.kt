package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingViewHolder

/** Tells whether a request can be sent to any endpoint of its service. Confined to the event loop. */
internal class ServiceAvailability(
    private val views: RoutingViewHolder,
    private val endpoints: EndpointAvailability,
) {
    /** Endpoints of [service] that accept requests now. */
    fun accepting(service: ServiceName): List<RoutedEndpoint> = views.current.serving(service).filter(endpoints::accepts)

    /**
     * Null if an endpoint of [service] that can run requests accepts them. Endpoints in [tried] do not count while there are
     * others. An endpoint that is listed as draining is leaving, as one that said so in a response. A service without endpoints has
     * no outage, because its first one may be about to register.
     */
    fun outage(
        service: ServiceName,
        tried: Set<EndpointId> = emptySet(),
    ): ServiceOutage? {
        val view = views.current
        val listed = (view.serving(service) + view.draining(service)).filter { it.stage != EndpointStage.PREFILL }
        val usable = listed.filterNot { it.id in tried }.ifEmpty { listed }
        if (usable.isEmpty() || usable.any { !it.isDraining && endpoints.accepts(it) }) return null
        return ServiceOutage(usable.filterNot(::isLeaving).minOfOrNull(endpoints::remainingPauseMs))
    }

    /** Why [endpoint] accepts no requests now; null if it does. */
    fun exclusion(endpoint: RoutedEndpoint): EndpointExclusion? =
        when {
            endpoint.isDraining -> EndpointExclusion.DRAINING
            endpoints.isLeaving(endpoint) -> EndpointExclusion.LEAVING
            !endpoints.accepts(endpoint) -> EndpointExclusion.PAUSED
            else -> null
        }

    private fun isLeaving(endpoint: RoutedEndpoint) = endpoint.isDraining || endpoints.isLeaving(endpoint)
}
