package io.knapweedferry.routing.model

import io.knapweedferry.api.EndpointId
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import java.util.concurrent.atomic.AtomicReference

/**
 * Publishes routing views by read-copy-update: listeners for configuration and instances replace the view, and requests read
 * it without a lock. A configuration is only replaced by a higher version, so that no request sees an older one after a newer one.
 */
public class RoutingViewHolder(
    private val events: EventLog,
) {
    private val view = AtomicReference(RoutingView.EMPTY)

    public val current: RoutingView get() = view.get()

    /** Activates [table] unless the active version is the same or higher. [source] is logged. */
    public fun offer(
        table: RouteTable,
        source: String,
    ) {
        var isReplaced = false
        val before =
            view.getAndUpdate { old ->
                isReplaced = table.version > (old.table?.version ?: Long.MIN_VALUE)
                if (isReplaced) old.withTable(table) else old
            }
        val event =
            when {
                !isReplaced -> LogEvent.CONFIG_OLDER_IGNORED
                before.table == null -> LogEvent.CONFIG_FIRST
                else -> LogEvent.CONFIG_APPLIED
            }
        events.write(event, "version" to table.version, "former" to before.table?.version, "routes" to table.routeCount, "source" to source)
    }

    /**
     * Records that a call to the store, sent at [sentAt], showed no newer configuration than the active one. In one view with the
     * configuration, so that no request combines an older configuration with a later confirmation.
     */
    public fun confirm(sentAt: ClockReading) {
        view.updateAndGet { it.withConfirmation(sentAt) }
    }

    /** Replaces the known endpoints. */
    public fun replaceFleet(
        endpoints: Map<EndpointId, RoutedEndpoint>,
        fleetVersion: Long,
    ) {
        val before = view.getAndUpdate { it.withEndpoints(endpoints, fleetVersion) }
        logChanges(before.endpoints, endpoints, fleetVersion)
    }

    private fun logChanges(
        before: Map<EndpointId, RoutedEndpoint>,
        after: Map<EndpointId, RoutedEndpoint>,
        fleetVersion: Long,
    ) {
        after.values.forEach { endpoint ->
            val former = before[endpoint.id]
            val event =
                when {
                    endpoint.isDraining && former?.isDraining != true -> LogEvent.ENDPOINT_LEAVING
                    former == null || former.startedAtMs != endpoint.startedAtMs -> LogEvent.ENDPOINT_FOUND
                    former.stage != endpoint.stage || former.address != endpoint.address -> LogEvent.ENDPOINT_CHANGED
                    else -> null
                }
            event?.let { events.write(it, *fields(endpoint, fleetVersion)) }
        }
        (before - after.keys).values.forEach { events.write(LogEvent.ENDPOINT_GONE, *fields(it, fleetVersion)) }
    }

    private fun fields(
        endpoint: RoutedEndpoint,
        fleetVersion: Long,
    ): Array<Pair<String, Any?>> =
        arrayOf(
            "endpoint" to endpoint.id.value,
            "service" to endpoint.service.value,
            "address" to "${endpoint.address.hostString}:${endpoint.address.port}",
            "stage" to endpoint.stage,
            "fleet_version" to fleetVersion,
        )
}
