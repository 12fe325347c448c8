package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.platform.instance.InstanceList
import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.policy.placement.EndpointSubset
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.collectLatest
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

/**
 * Joins the platform's instance list with the configuration into an immutable [Fleet], which requests read. If the list cannot
 * be read, the last one remains in use; this is safe because the sidecars refuse requests for endpoints that are shutting down.
 */
internal class FleetView(
    private val instanceList: InstanceList,
    private val config: ConfigSource,
    private val pollMs: Long,
    private val subset: EndpointSubset,
) {
    private val listedInstances = AtomicReference<List<ListedInstance>>(emptyList())
    private val fleet = AtomicReference(Fleet.EMPTY)

    fun current(): Fleet = fleet.get()

    /** Session address of a listed endpoint, even if its instance is leaving or the endpoint is no longer assigned. */
    fun addressOf(endpoint: EndpointId): String? =
        listedInstances.get().firstOrNull { instance -> instance.endpoints.any { it.endpoint == endpoint } }?.sessionAddress

    /** Listed and assigned endpoint, even if its instance is leaving. */
    fun memberOf(endpoint: EndpointId): FleetMember? {
        val instance = listedInstances.get().firstOrNull { listed -> listed.endpoints.any { it.endpoint == endpoint } } ?: return null
        val assignment =
            config
                .current()
                ?.state
                ?.endpoints
                ?.get(endpoint) ?: return null
        return FleetMember(endpoint, instance.sessionAddress, instance.availabilityZone, assignment)
    }

    /** True once both an instance list and a configuration were loaded. */
    val isLoaded: Boolean get() = listedInstances.get().isNotEmpty() && fleet.get().revision > Revision.NONE

    /** Session addresses of all listed instances. */
    fun addresses(): List<String> = listedInstances.get().map { it.sessionAddress }

    /** Rebuilds the fleet as soon as the configuration changes, without polling the platform. */
    suspend fun refreshOn(changes: Flow<*>) {
        changes.collectLatest {
            // The follower publishes a state shortly before current() returns it.
            while (config.current() == null) delay(CONFIG_POLL_INTERVAL_MS.milliseconds)
            fleet.set(join(listedInstances.get()))
        }
    }

    /** Polls the instance list until cancelled. */
    suspend fun poll() {
        while (true) {
            refresh()
            delay(pollMs.milliseconds)
        }
    }

    suspend fun refresh() {
        instanceList.list().onRight { listedInstances.set(it) }
        fleet.set(join(listedInstances.get()))
    }

    private fun join(instances: List<ListedInstance>): Fleet {
        val snapshot = config.current() ?: return fleet.get()
        val assignments = snapshot.state.endpoints
        val members =
            instances
                .filter { it.state == InstanceState.LIVE }
                .flatMap { instance -> instance.endpoints.map { instance to it.endpoint } }
                .mapNotNull { (instance, endpoint) ->
                    assignments[endpoint]
                        ?.takeUnless { it.draining }
                        ?.let { FleetMember(endpoint, instance.sessionAddress, instance.availabilityZone, it) }
                }
        return Fleet(
            snapshot.revision,
            members
                .groupBy { it.purpose }
                .values
                .flatMap(::selectSubset)
                .associateBy { it.endpoint },
        )
    }

    /** Selects the endpoints of one purpose that this entry connects to; this limits the connections between entries and sidecars. */
    private fun selectSubset(members: List<FleetMember>): List<FleetMember> {
        val chosen = subset.select(members.associate { it.endpoint to it.availabilityZone })
        return members.filter { it.endpoint in chosen }
    }

    private companion object {
        const val CONFIG_POLL_INTERVAL_MS = 20L
    }
}
