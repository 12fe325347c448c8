package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.FillOrder
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlin.time.TimeMark

/** Model request that waits for room at an engine. */
internal class AdmissionTicket(
    val job: ForwardingJob,
    /** True for a stream that its caller is already reading. */
    val isResumed: Boolean,
    /** Usual time from admission to the first event. */
    private val timeToFirstEventMs: Double,
    private val candidates: () -> List<RoutedEndpoint>,
    private val excluded: Set<EndpointId>,
) {
    /** Completed with null if the request is not going to get room in time. */
    val admission = CompletableDeferred<Admission?>()

    /** When room is of no use to the request any more. */
    lateinit var waitDeadline: TimeMark
    private var isClaimed = false

    /** Waits for the grant and takes it. */
    suspend fun await(): Admission? = admission.await().also { isClaimed = true }

    /** A grant that came too late for its request. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun takeUnclaimed(): Admission? = if (admission.isCompleted && !isClaimed) admission.getCompleted() else null

    fun engines(): List<RoutedEndpoint> = candidates().filterNot { it.id in excluded }

    /** Streams in progress first, then requests that can still meet their target, then those whose callers come back no more. */
    val queuePosition: QueuePosition get() = QueuePosition(group, job.route.priority, job.call.elapsedMs)

    /** Place in the order of requests at one moment. */
    data class QueuePosition(
        private val group: Int,
        private val priority: Int,
        private val waitedMs: Long,
    ) : Comparable<QueuePosition> {
        override fun compareTo(other: QueuePosition): Int = ORDER.compare(this, other)

        private companion object {
            val ORDER: Comparator<QueuePosition> =
                compareBy<QueuePosition> {
                    it.group
                }.thenBy { it.priority }.thenByDescending { it.waitedMs }
        }
    }

    val fillOrder: FillOrder get() = if (isResumed || job.route.priority == 0) FillOrder.FROM_BACK else FillOrder.FROM_FRONT

    /** Reservation to ask for, which the engine keeps for the whole run. */
    val reservedTokens: Int get() = job.call.traits.kvTokens

    /**
     * KV cache of [engine] that must be free beside the reservation and stays free: room in which the runs there grow beyond
     * what they reserved, and room for more urgent requests that any entry may receive. Those that are late already leave room
     * too; a late one insists more as its end comes near.
     */
    fun headroomTokens(engine: EngineProfile): Int {
        val growth = engine.kvCapacityTokens * GROWTH_RESERVE_SHARE
        // A large request would otherwise find room in one piece far less often than the others of its rank.
        val excess = maxOf(0.0, reservedTokens - engine.kvCapacityTokens * TYPICAL_SHARE)
        return (growth + maxOf(0.0, engine.kvCapacityTokens * headroomShare - excess)).toInt()
    }

    fun tokensWithHeadroom(engine: EngineProfile): Int = reservedTokens + headroomTokens(engine)

    private val headroomShare: Double
        get() =
            when (group) {
                GROUP_RESUMED -> 0.0
                GROUP_IN_TIME -> minOf(job.route.priority * HEADROOM_PER_PRIORITY, MAX_HEADROOM)
                GROUP_LAST_CHANCE -> HEADROOM_PER_PRIORITY * job.timeToAbandonShare
                else -> MAX_HEADROOM * job.timeToAbandonShare
            }

    private val group: Int
        get() =
            when {
                isResumed -> GROUP_RESUMED
                job.isLikelyRetry -> GROUP_LAST_CHANCE
                job.canMeetTarget(timeToFirstEventMs) -> GROUP_IN_TIME
                else -> GROUP_LATE
            }

    private companion object {
        const val GROUP_RESUMED = 0
        const val GROUP_IN_TIME = 1
        const val GROUP_LAST_CHANCE = 2
        const val GROUP_LATE = 3

        /** Growth of the runs of a full engine beyond their reservations; without it engines interrupt runs. */
        const val GROWTH_RESERVE_SHARE = 0.03

        /** Reservation of a typical request; engines of today hold about seven. */
        const val TYPICAL_SHARE = 0.14

        /** About a third of a typical request's share of an engine. */
        const val HEADROOM_PER_PRIORITY = 0.04

        /** About one typical request. */
        const val MAX_HEADROOM = 0.12
    }
}
