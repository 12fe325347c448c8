package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.RoutedEndpoint
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/** Model request that waits for room at an engine. */
internal class GateTicket(
    val job: ForwardingJob,
    /** True for a stream that its caller is already reading. */
    val isResumed: Boolean,
    /** Usual time from admission to the first event. */
    private val firstEventMs: Double,
    private val candidates: () -> List<RoutedEndpoint>,
    private val excluded: Set<EndpointId>,
) : Comparable<GateTicket> {
    val granted = CompletableDeferred<Admission>()
    private var isClaimed = false

    /** Waits for the grant and takes it. */
    suspend fun await(): Admission = granted.await().also { isClaimed = true }

    /** A grant that came too late for its request. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun takeUnclaimed(): Admission? = if (granted.isCompleted && !isClaimed) granted.getCompleted() else null

    fun engines(): List<RoutedEndpoint> = candidates().filterNot { it.id in excluded }

    /** Streams in progress first, then requests that can still meet their target, by priority and age. */
    override fun compareTo(other: GateTicket): Int = ORDER.compare(this, other)

    private val group: Int
        get() =
            when {
                isResumed -> 0
                job.canMeetTarget(firstEventMs) -> 1
                else -> 2
            }

    private companion object {
        val ORDER: Comparator<GateTicket> =
            compareBy<GateTicket> { it.group }.thenBy { it.job.route.priority }.thenByDescending { it.job.call.elapsedMs }
    }
}
