package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.admission.WaitingRequest
import io.knapweedferry.policy.routing.FillOrder
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlin.time.TimeMark

/** Model request that waits for a reservation at an engine. */
internal class AdmissionTicket(
    val job: ForwardingJob,
    /** True if the caller has already received a part of the stream. */
    val isResumed: Boolean,
    /** Expected time from admission to the first event. */
    private val timeToFirstEventMs: Double,
    private val candidates: () -> List<RoutedEndpoint>,
    /** Engines that this request has already tried; it is not sent there again. */
    val tried: Set<EndpointId>,
) {
    /** True if this process stops and might end before the run of this request, even if it were admitted now. */
    val outlastsProcess: Boolean get() = !isResumed && RunTimeEstimate(job).outlastsProcess

    /** Priority of the organisation, or of the route if there is none; the only place where admission reads it. */
    val priority: Int get() = job.priority

    /** Completed with null if the request cannot be admitted in time. */
    val admission = CompletableDeferred<Admission?>()

    /** Order of the queue in which this request waits. */
    lateinit var order: AdmissionOrder

    /** Admission after this time is too late. */
    lateinit var waitDeadline: TimeMark
    private var isReceived = false

    val remainingWaitMs: Long get() = -waitDeadline.elapsedNow().inWholeMilliseconds

    /** Waits for the admission and marks it as received. */
    suspend fun await(): Admission? = admission.await().also { isReceived = true }

    /** Admission that was granted after its request had stopped waiting; null if there is none. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun unreceivedAdmission(): Admission? = if (admission.isCompleted && !isReceived) admission.getCompleted() else null

    fun candidateEngines(): List<RoutedEndpoint> = candidates().filterNot { it.id in tried }

    /**
     * Order: resumed streams, then requests that can still meet their target latency, then retries, which are often the last
     * attempt of their caller, then late requests. Within a group by priority, then by the priority of the route, then by time waited.
     */
    val queuePosition: QueuePosition get() = QueuePosition(group, job.priority, job.route.priority, job.call.elapsedMs)

    /** What the decision by cost to callers needs to know of this request, valid at the moment it was read. */
    fun waitingRequest(): WaitingRequest =
        WaitingRequest(
            priority = priority,
            routePriority = job.route.priority,
            timeToTargetMs = job.route.targetLatencyMs - job.call.elapsedMs - timeToFirstEventMs,
            timeToAbandonMs = remainingWaitMs.toDouble(),
            waitedMs = job.call.elapsedMs.toDouble(),
            kvTokens = reservedTokens,
            runMs = RunTimeEstimate(job).totalMs,
            hasBegun = isResumed,
            isLastAttempt = job.isLikelyRetry,
        )

    /** Sort key of a request, valid at the moment it was read. */
    data class QueuePosition(
        private val group: Int,
        private val priority: Int,
        private val routePriority: Int,
        private val waitedMs: Long,
    ) : Comparable<QueuePosition> {
        override fun compareTo(other: QueuePosition): Int = ORDER.compare(this, other)

        private companion object {
            val ORDER: Comparator<QueuePosition> =
                compareBy<QueuePosition>({ it.group }, { it.priority }, { it.routePriority }).thenByDescending { it.waitedMs }
        }
    }

    /** Cost of an engine by its speed, in milliseconds; null if speeds don't matter. */
    fun speedCost(selector: EndpointSelector): ((RoutedEndpoint) -> Double)? =
        selector.speeds?.decodeCost(job.service.name, job.call.traits, timeToFirstEventMs, job.remainingMs)

    val fillOrder: FillOrder get() = if (isResumed || job.priority == 0) FillOrder.FROM_BACK else FillOrder.FROM_FRONT

    /** Size of the reservation that the engine holds for the whole run. */
    val reservedTokens: Int get() = job.kvTokens

    /**
     * KV cache of [engine] that must be free in addition to the reservation and remains unreserved: for runs that grow beyond
     * their reservations, and for more urgent requests that any entry may receive. Late requests leave headroom too, but less
     * and less as the time at which their caller abandons them comes near.
     */
    fun headroomTokens(engine: EngineProfile): Int {
        val growth = engine.kvCapacityTokens * GROWTH_RESERVE_SHARE
        // Without this reduction a large request would be admitted far less often than the others of its rank.
        val excess = maxOf(0.0, reservedTokens - engine.kvCapacityTokens * TYPICAL_RESERVATION_SHARE)
        return (growth + maxOf(0.0, engine.kvCapacityTokens * order.headroomShare(this) - excess)).toInt()
    }

    /** Reservation and headroom together, as far as an engine without other runs can grant them. */
    fun tokensWithHeadroom(engine: EngineProfile): Int {
        val tokens = reservedTokens + headroomTokens(engine)
        return if (engine.kvCapacityTokens > 0) minOf(tokens, engine.kvCapacityTokens) else tokens
    }

    /** Headroom of [PriorityOrder]. */
    val groupHeadroomShare: Double
        get() =
            when (group) {
                GROUP_RESUMED -> 0.0
                GROUP_IN_TIME -> minOf(job.priority * HEADROOM_SHARE_PER_PRIORITY, MAX_HEADROOM_SHARE)
                GROUP_RETRY -> HEADROOM_SHARE_PER_PRIORITY * job.timeToAbandonShare
                else -> MAX_HEADROOM_SHARE * job.timeToAbandonShare
            }

    private val group: Int
        get() =
            when {
                isResumed -> GROUP_RESUMED
                job.isLikelyRetry -> GROUP_RETRY
                job.canMeetTarget(timeToFirstEventMs) -> GROUP_IN_TIME
                else -> GROUP_LATE
            }

    private companion object {
        const val GROUP_RESUMED = 0
        const val GROUP_IN_TIME = 1
        const val GROUP_RETRY = 2
        const val GROUP_LATE = 3

        /** Space for runs of a full engine to outgrow their reservations; without it the engine interrupts runs. */
        const val GROWTH_RESERVE_SHARE = 0.03

        /** Reservation of a typical request; current engines hold about seven of them. */
        const val TYPICAL_RESERVATION_SHARE = 0.14

        /** About a third of a typical request's reservation. */
        const val HEADROOM_SHARE_PER_PRIORITY = 0.04

        /** About one typical request's reservation. */
        const val MAX_HEADROOM_SHARE = 0.12
    }
}
