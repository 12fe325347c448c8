package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.fleet.EndpointExclusion
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Requests that wait for an engine of one service, in the given order. The first one requests a reservation, and the others
 * wait for the result unless the engine is slow to respond: an unresponsive engine must delay only the request that waits
 * for its response. Confined to the event loop.
 */
internal class AdmissionQueue(
    private val reservations: EngineReservations,
    private val selector: EndpointSelector,
    private val services: ServiceAvailability,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
    private val order: AdmissionOrder,
) {
    private val tickets = ArrayList<AdmissionTicket>()

    /** Reservation requests that have no response yet. */
    private val pendingReservations = HashMap<AdmissionTicket, PendingReservation>()
    private val refusals = HashMap<EndpointId, Refusal>()
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)
    private var isServing = false

    /** Time until a full engine is tried again, unless a run of this entry ends there first; limits the rate of reservation requests. */
    private var refusalRetryMs = MAX_REFUSAL_RETRY_MS

    val size: Int get() = tickets.size

    fun add(
        ticket: AdmissionTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): AdmissionWait {
        ticket.order = order
        ticket.waitDeadline = timeSource.markNow() + waitMs.milliseconds
        val wait = AdmissionWait(order.ahead(ticket, tickets))
        ticket.job.record.admissionWait = wait
        tickets += ticket
        wakeSignal.trySend(Unit)
        if (!isServing) startServing(engine)
        return wait
    }

    /** What would happen to [ticket] if it were added now. Adds nothing and requests no reservation. */
    fun preview(
        ticket: AdmissionTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): AdmissionPreview {
        ticket.order = order
        ticket.waitDeadline = timeSource.markNow() + waitMs.milliseconds
        val tokens = ticket.tokensWithHeadroom(engine)
        val candidates = ticket.candidateEngines()
        val usable = selector.withoutAvoided(candidates)
        val exclusions = HashMap<EndpointId, EndpointExclusion>()
        (candidates - usable.toSet()).forEach { exclusions[it.id] = EndpointExclusion.AVOIDED }
        usable.forEach { endpoint -> exclusion(endpoint, tokens)?.let { exclusions[endpoint.id] = it } }
        return AdmissionPreview(size, order.preview(ticket, tickets), exclusions)
    }

    fun remove(ticket: AdmissionTicket) {
        tickets -= ticket
        ticket.unreceivedAdmission()?.let(reservations::release)
    }

    /** Called when a run at [endpoint] has ended. */
    fun onCapacityReleased(endpoint: EndpointId) {
        refusals.remove(endpoint)
        wakeSignal.trySend(Unit)
    }

    private fun startServing(engine: EngineProfile) {
        isServing = true
        scope.launch {
            try {
                while (tickets.isNotEmpty()) {
                    refuseUnservable()
                    reserveNext(engine)
                    withTimeoutOrNull(if (pendingReservations.isEmpty()) refusalRetryMs else SLOW_RESPONSE_MS) { wakeSignal.receive() }
                }
            } finally {
                isServing = false
                order.recordQueueEmpty()
            }
        }
    }

    /**
     * Refuses requests that would not be admitted in time according to [order], whose engines do not return from a
     * pause in time, or whose run could outlast this process. Streams that have begun wait for any engine that may register.
     */
    private fun refuseUnservable() {
        order.sorted(tickets).forEachIndexed { ahead, ticket ->
            if (ticket in pendingReservations || ticket.isResumed) return@forEachIndexed
            if (ticket.outlastsProcess) return@forEachIndexed refuse(ticket, "stopping:$ahead")
            if (isOutOfReach(ticket)) return@forEachIndexed refuse(ticket, "unavailable:$ahead")
            val refusal = order.refusal(ticket, ahead) ?: return@forEachIndexed
            ticket.job.record.admissionWait
                ?.retryAfterMs = refusal.retryAfterMs
            refuse(ticket, refusal.step)
        }
    }

    /** True if all engines that [ticket] could use are leaving, or paused for longer than it may wait. */
    private fun isOutOfReach(ticket: AdmissionTicket): Boolean {
        val outage = services.outage(ticket.job.service.name, ticket.tried) ?: return false
        return outage.returnsAfterMs == null || outage.returnsAfterMs > ticket.remainingWaitMs
    }

    private fun refuse(
        ticket: AdmissionTicket,
        step: String,
    ) {
        ticket.job.record.recordStep(step)
        tickets -= ticket
        ticket.admission.complete(null)
    }

    private fun reserveNext(engine: EngineProfile) {
        for (ticket in order.sorted(tickets)) {
            val pending = pendingReservations[ticket]
            if (pending != null && !pending.isSlow) return
            if (pending != null) continue
            val choice = selectEngine(ticket, engine)
            // Capacity that a more urgent request waits for is not given to a smaller request behind it.
            if (choice == null) return order.recordNoCapacity()
            return requestReservation(ticket, choice, engine)
        }
    }

    private fun selectEngine(
        ticket: AdmissionTicket,
        engine: EngineProfile,
    ): EndpointChoice? {
        val tokens = ticket.tokensWithHeadroom(engine)
        val engines = selector.withoutAvoided(ticket.candidateEngines())
        refusalRetryMs = (engines.size * MS_PER_SECOND / MAX_RESERVATIONS_PER_SECOND).coerceIn(MIN_REFUSAL_RETRY_MS, MAX_REFUSAL_RETRY_MS)
        val candidates = engines.filter { exclusion(it, tokens) == null }
        return selector.selectDecode(candidates, ticket.job.call.traits, engine, ticket.fillOrder, ticket.speedCost(selector))
    }

    private fun requestReservation(
        ticket: AdmissionTicket,
        choice: EndpointChoice,
        engine: EngineProfile,
    ) {
        pendingReservations[ticket] = PendingReservation(choice.endpoint.id, timeSource.markNow())
        val tokens = ticket.tokensWithHeadroom(engine)
        scope.launch {
            var admission: Admission? = null
            try {
                admission = reservations.reserve(ticket, choice, engine)
            } finally {
                // An unexpected error counts as a refusal, so that the engine is not asked again at once.
                onReservationResult(ticket, choice, admission, tokens)
                pendingReservations.remove(ticket)
                wakeSignal.trySend(Unit)
            }
        }
    }

    private fun onReservationResult(
        ticket: AdmissionTicket,
        choice: EndpointChoice,
        admission: Admission?,
        tokens: Int,
    ) {
        if (admission == null) {
            refusals[choice.endpoint.id] = Refusal(tokens, timeSource.markNow())
            return
        }
        if (ticket !in tickets) return reservations.release(admission)
        tickets -= ticket
        order.recordGrant(ticket)
        ticket.admission.complete(admission)
    }

    /** Why [endpoint] is not asked to reserve [tokens] now; null if it may be. */
    private fun exclusion(
        endpoint: RoutedEndpoint,
        tokens: Int,
    ): EndpointExclusion? =
        when {
            pendingReservations.values.any { it.endpoint == endpoint.id } -> EndpointExclusion.RESERVATION_PENDING
            hasRecentlyRefused(endpoint, tokens) -> EndpointExclusion.RECENTLY_REFUSED
            else -> null
        }

    /** An engine that refused a large reservation may still grant a smaller one. */
    private fun hasRecentlyRefused(
        endpoint: RoutedEndpoint,
        tokens: Int,
    ): Boolean = refusals[endpoint.id]?.let { tokens >= it.tokens && it.since.elapsedNow().inWholeMilliseconds < refusalRetryMs } ?: false

    /** Refused reservation of [tokens]. */
    private class Refusal(
        val tokens: Int,
        val since: TimeMark,
    )

    private class PendingReservation(
        val endpoint: EndpointId,
        private val since: TimeMark,
    ) {
        /** True once the response takes longer than that of a healthy engine. */
        val isSlow: Boolean get() = since.elapsedNow().inWholeMilliseconds >= SLOW_RESPONSE_MS
    }

    private companion object {
        const val MAX_RESERVATIONS_PER_SECOND = 100
        const val MS_PER_SECOND = 1_000L
        const val MIN_REFUSAL_RETRY_MS = 50L
        const val MAX_REFUSAL_RETRY_MS = 150L

        /** Two round trips between availability zones and one iteration of a busy event loop. */
        const val SLOW_RESPONSE_MS = 25L
    }
}
