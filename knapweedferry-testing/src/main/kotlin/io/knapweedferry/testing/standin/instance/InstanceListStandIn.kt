package io.knapweedferry.testing.standin.instance

import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.http.ErrorResponseException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Instance list in which each change becomes visible after a lag. */
internal class InstanceListStandIn(
    private val lagMs: Long,
    initial: List<ListedInstance>,
    timeSource: TimeSource = TimeSource.Monotonic,
) : AdminTarget<InstanceListFaults, InstanceListStatistics> {
    private val lock = Any()
    private val start = timeSource.markNow()

    /** Versions of the list, oldest first. The first is visible until the lag of the second has passed. */
    private val versions = ArrayDeque(listOf(Version(Duration.ZERO, initial.associateBy { it.instance.value })))

    @Volatile
    override var faults = InstanceListFaults()
    override val faultsSerializer = InstanceListFaults.serializer()
    override val statisticsSerializer = InstanceListStatistics.serializer()

    override suspend fun statistics() =
        InstanceListStatistics(
            synchronized(lock) {
                versions
                    .last()
                    .instances.values
                    .toList()
            },
        )

    suspend fun list(): List<ListedInstance> {
        faults.outage.apply()
        return synchronized(lock) { visible().instances.values.toList() }
    }

    fun put(instance: ListedInstance) = change { it + (instance.instance.value to instance) }

    fun markLeaving(instance: String) =
        change {
            val listed = it[instance] ?: throw ErrorResponseException.notFound("no instance $instance")
            it + (instance to listed.copy(state = InstanceState.LEAVING))
        }

    fun remove(instance: String) = change { it - instance }

    private fun change(edit: (Map<String, ListedInstance>) -> Map<String, ListedInstance>) =
        synchronized(lock) {
            versions += Version(start.elapsedNow(), edit(versions.last().instances))
        }

    private fun visible(): Version {
        val visibleUntil = start.elapsedNow() - (faults.lagMs ?: lagMs).milliseconds
        return versions.lastOrNull { it.changedAt <= visibleUntil } ?: versions.first()
    }

    private class Version(
        val changedAt: Duration,
        val instances: Map<String, ListedInstance>,
    )
}
