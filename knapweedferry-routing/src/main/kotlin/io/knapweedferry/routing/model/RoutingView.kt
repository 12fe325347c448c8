package io.knapweedferry.routing.model

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** What this process believes about configuration and endpoints at one moment. */
public class RoutingView(
    /** Null until the first configuration arrives. */
    public val table: RouteTable?,
    public val endpoints: Map<EndpointId, RoutedEndpoint>,
    /** Number of the change of the instance list that produced this view. */
    public val fleetVersion: Long,
    /** True once the instance list was read completely. */
    public val hasFleet: Boolean,
    /** When the instance list last changed here. */
    private val fleetSince: TimeMark = TimeSource.Monotonic.markNow(),
) {
    private val byService: Map<ServiceName, List<RoutedEndpoint>> = endpoints.values.filterNot { it.isLeaving }.groupBy { it.service }

    /** Time since the instance list last changed here. */
    public val fleetAgeMs: Long get() = fleetSince.elapsedNow().inWholeMilliseconds

    /** The same endpoints with another configuration. */
    internal fun with(newTable: RouteTable) = RoutingView(newTable, endpoints, fleetVersion, hasFleet, fleetSince)

    public val isComplete: Boolean get() = table != null && hasFleet

    /** Endpoints of [service] that take new work. */
    public fun serving(service: ServiceName): List<RoutedEndpoint> = byService[service].orEmpty()

    public companion object {
        public val EMPTY: RoutingView = RoutingView(null, emptyMap(), 0, false)
    }
}
