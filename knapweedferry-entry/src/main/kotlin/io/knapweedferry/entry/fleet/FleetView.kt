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
 * Joins the platform's instance list with the configuration. Requests read one immutable [Fleet]; the poll loop replaces it.
 * When the list cannot be read the last one stays in use, because endpoints refuse by themselves once they leave.
 */
internal class FleetView(
    private val instanceList: InstanceList,
    private val config: ConfigSource,
    private val pollMs: Long,
    private val subset: EndpointSubset,
) {
    private val listed = AtomicReference<List<ListedInstance>>(emptyList())
    private val fleet = AtomicReference(Fleet.EMPTY)

    fun current(): Fleet = fleet.get()

    /** Session address of an endpoint, also while its instance is leaving or the configuration no longer uses it. */
    fun addressOf(endpoint: EndpointId): String? =
        listed.get().firstOrNull { instance -> instance.endpoints.any { it.endpoint == endpoint } }?.sessionAddress

    /** Member with its last known address, also while it is leaving. */
    fun memberOf(endpoint: EndpointId): FleetMember? {
        val instance = listed.get().firstOrNull { listed -> listed.endpoints.any { it.endpoint == endpoint } } ?: return null
        val assignment =
            config
                .current()
                ?.state
                ?.endpoints
                ?.get(endpoint) ?: return null
        return FleetMember(endpoint, instance.sessionAddress, instance.availabilityZone, assignment)
    }

    /** True once the platform's list and a configuration were joined. */
    val isLoaded: Boolean get() = listed.get().isNotEmpty() && fleet.get().revision > Revision.NONE

    /** Session addresses of all listed instances. */
    fun addresses(): List<String> = listed.get().map { it.sessionAddress }

    /** Joins again at once when the configuration changes, without asking the platform. */
    suspend fun refreshOn(changes: Flow<*>) {
        changes.collectLatest {
            // A follower publishes a state shortly before it vouches for it.
            while (config.current() == null) delay(RETRY_MS.milliseconds)
            fleet.set(join(listed.get()))
        }
    }

    suspend fun poll() {
        while (true) {
            refresh()
            delay(pollMs.milliseconds)
        }
    }

    suspend fun refresh() {
        instanceList.list().onRight { listed.set(it) }
        fleet.set(join(listed.get()))
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
                .flatMap(::ours)
                .associateBy { it.endpoint },
        )
    }

    /** The part of the endpoints for one purpose that this entry talks to, so that not every entry talks to all. */
    private fun ours(members: List<FleetMember>): List<FleetMember> {
        val chosen = subset.select(members.associate { it.endpoint to it.availabilityZone })
        return members.filter { it.endpoint in chosen }
    }

    private companion object {
        const val RETRY_MS = 20L
    }
}
