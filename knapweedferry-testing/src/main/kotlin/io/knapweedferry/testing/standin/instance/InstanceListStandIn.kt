package io.knapweedferry.testing.standin.instance

import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.testing.standin.http.Admin
import io.knapweedferry.testing.standin.http.StandInFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** List of instances that shows each change after a lag. */
internal class InstanceListStandIn(
    private val lagMs: Long,
    initial: List<ListedInstance>,
    timeSource: TimeSource = TimeSource.Monotonic,
) : Admin<InstanceListFaults, InstanceListLedger> {
    private val lock = Any()
    private val start = timeSource.markNow()

    /** Versions of the list with the time of the change, oldest first; the first is the one shown until a lag has passed. */
    private val versions = ArrayDeque(listOf(Version(Duration.ZERO, initial.associateBy { it.instance.value })))

    @Volatile
    override var faults = InstanceListFaults()
    override val faultsSerializer = InstanceListFaults.serializer()
    override val ledgerSerializer = InstanceListLedger.serializer()

    override suspend fun ledger() =
        InstanceListLedger(
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
            val entry = it[instance] ?: throw StandInFailure.notFound("no instance $instance")
            it + (instance to entry.copy(state = InstanceState.LEAVING))
        }

    fun remove(instance: String) = change { it - instance }

    private fun change(edit: (Map<String, ListedInstance>) -> Map<String, ListedInstance>) =
        synchronized(lock) {
            versions += Version(start.elapsedNow(), edit(versions.last().instances))
        }

    private fun visible(): Version {
        val until = start.elapsedNow() - (faults.lagMs ?: lagMs).milliseconds
        return versions.lastOrNull { it.at <= until } ?: versions.first()
    }

    private class Version(
        val at: Duration,
        val instances: Map<String, ListedInstance>,
    )
}
