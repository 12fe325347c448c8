package io.knapweedferry.routing.model

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Immutable snapshot of the routing configuration and the endpoints known to this process. */
public class RoutingView(
    /** Null until the first configuration arrives. */
    public val table: RouteTable?,
    public val endpoints: Map<EndpointId, RoutedEndpoint>,
    /** Sequence number of the last change to the instance list in this view. */
    public val fleetVersion: Long,
    /** True once the complete instance list has been read. */
    public val hasInstanceList: Boolean,
    /** Time at which this process received the last change to the instance list. */
    private val fleetReceivedAt: TimeMark = TimeSource.Monotonic.markNow(),
    /**
     * When this process sent the latest call to the store that showed that there was no newer configuration; null if there was
     * none yet.
     */
    public val confirmedAt: ClockReading? = null,
) {
    private val byService: Map<ServiceName, List<RoutedEndpoint>> = endpoints.values.filterNot { it.isDraining }.groupBy { it.service }
    private val drainingByService: Map<ServiceName, List<RoutedEndpoint>> =
        endpoints.values.filter { it.isDraining }.groupBy { it.service }

    /** Time since this process received the last change to the instance list. */
    public val fleetAgeMs: Long get() = fleetReceivedAt.elapsedNow().inWholeMilliseconds

    /** Copy of this view with another configuration. */
    internal fun withTable(newTable: RouteTable) =
        RoutingView(newTable, endpoints, fleetVersion, hasInstanceList, fleetReceivedAt, confirmedAt)

    /** Copy of this view with a later confirmation. */
    internal fun withConfirmation(sentAt: ClockReading) =
        RoutingView(table, endpoints, fleetVersion, hasInstanceList, fleetReceivedAt, sentAt)

    /** Copy of this view with other endpoints. */
    internal fun withEndpoints(
        newEndpoints: Map<EndpointId, RoutedEndpoint>,
        newFleetVersion: Long,
    ) = RoutingView(table, newEndpoints, newFleetVersion, true, confirmedAt = confirmedAt)

    /** True once requests can be routed. */
    public val isComplete: Boolean get() = table != null && hasInstanceList

    /** Endpoints of [service] that accept new requests. */
    public fun serving(service: ServiceName): List<RoutedEndpoint> = byService[service].orEmpty()

    /** Endpoints of [service] that are listed as draining and get no new requests. */
    public fun draining(service: ServiceName): List<RoutedEndpoint> = drainingByService[service].orEmpty()

    public companion object {
        public val EMPTY: RoutingView = RoutingView(null, emptyMap(), 0, false)
    }
}
