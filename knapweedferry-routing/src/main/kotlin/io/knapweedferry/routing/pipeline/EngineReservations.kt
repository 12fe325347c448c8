package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.upstream.ResponseOrigin
import io.knapweedferry.routing.upstream.UnclaimedResponse
import io.knapweedferry.telemetry.ReservationOutcome
import io.knapweedferry.telemetry.RoutingMetrics
import kotlin.time.TimeSource

/** Requests and releases KV cache reservations at engines. Confined to the event loop. */
internal class EngineReservations(
    private val client: EndpointClient,
    private val selector: EndpointSelector,
    private val protocol: UpstreamProtocol,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val granted = GrantedReservations()

    /** A release grants nothing. */
    private val releaseCheck = ResponseCheck { response, _ -> protocol.readReservation(response.body) == null }

    init {
        client.onUnclaimedResponse(::releaseUnclaimed)
    }

    /**
     * Reserves the KV cache that the run of [ticket] needs, provided that its headroom is free as well; null if the engine
     * does not grant both. A short-lived probe reservation for both together checks this, so that nothing stays reserved at an
     * engine that lacks either. The probe is released before the KV cache of the run is reserved.
     */
    suspend fun reserve(
        ticket: AdmissionTicket,
        choice: EndpointChoice,
        engine: EngineProfile,
    ): Admission? {
        val maxTtlMs = engine.maxReservationMs ?: return Admission(choice, null)
        val began = timeSource.markNow()
        val probe = requestReservation(choice, ticket.tokensWithHeadroom(engine), minOf(PROBE_TTL_MS, maxTtlMs))
        val run =
            probe.admission?.let {
                releaseAndAwait(it)
                requestReservation(choice, ticket.reservedTokens, minOf(RESERVATION_TTL_MS, maxTtlMs))
            }
        recordResult(ticket, (run ?: probe).outcome, began.elapsedNow().inWholeMilliseconds)
        return run?.admission
    }

    private suspend fun releaseAndAwait(admission: Admission) {
        val reservation = admission.reservation ?: return
        val request = protocol.releaseReservation(reservation)
        client.sendControl(admission.choice.endpoint, request, RESERVE_TIMEOUT_MS, check = releaseCheck)
    }

    /** Releases the reservation without waiting for the response. */
    fun release(admission: Admission) {
        val reservation = admission.reservation ?: return
        client.sendControlAsync(admission.choice.endpoint, protocol.releaseReservation(reservation), releaseCheck)
    }

    /** Releases a reservation whose request was given a copy of an earlier response. A copy of a grant that was used stays. */
    private fun releaseUnclaimed(response: UnclaimedResponse) {
        if (response.status != STATUS_OK) return
        val reservation = protocol.readReservation(response.body) ?: return
        if (!granted.isNew(response.endpoint, reservation)) return
        client.sendControlAsync(response.endpoint, protocol.releaseReservation(reservation), releaseCheck)
    }

    private fun recordResult(
        ticket: AdmissionTicket,
        outcome: ReservationOutcome,
        elapsedMs: Long,
    ) {
        metrics.recordReservation(outcome, elapsedMs)
        val wait = ticket.job.record.admissionWait ?: return
        wait.reservationRequests++
        wait.reservationMs += elapsedMs
        if (outcome == ReservationOutcome.UNANSWERED) wait.unansweredRequests++
    }

    private suspend fun requestReservation(
        choice: EndpointChoice,
        tokens: Int,
        ttlMs: Long,
    ): ReservationResult {
        if (!client.accepts(choice.endpoint)) return ReservationResult(ReservationOutcome.NO_ROOM)
        val request = protocol.reserve(choice.endpoint.id, tokens, ttlMs)
        val check = GrantCheck(choice)
        val response = client.sendControl(choice.endpoint, request, RESERVE_TIMEOUT_MS, check = check)
        val outcome = check.outcome
        recordHealth(choice, outcome)
        val reservation = response.getOrNull()?.takeIf { outcome == ReservationOutcome.GRANTED }?.let { protocol.readReservation(it.body) }
        return ReservationResult(outcome, reservation?.let { Admission(choice, it) })
    }

    /** Tells what a response to a request for a reservation means. */
    private inner class GrantCheck(
        private val choice: EndpointChoice,
    ) : ResponseCheck {
        var outcome = ReservationOutcome.UNANSWERED
            private set

        override val foreignOrigin: ResponseOrigin
            get() = if (outcome == ReservationOutcome.REPEATED) ResponseOrigin.COPY else ResponseOrigin.OTHER

        override fun isOwn(
            response: BufferedResponse,
            mayBeCopy: Boolean,
        ): Boolean {
            outcome = outcomeOf(choice, response, mayBeCopy)
            return !mayBeCopy || outcome !in FOREIGN_RESPONSES
        }
    }

    private fun outcomeOf(
        choice: EndpointChoice,
        response: BufferedResponse,
        mayBeCopy: Boolean,
    ): ReservationOutcome {
        if (protocol.isWrongEndpoint(response.status, response.headers)) return ReservationOutcome.WRONG_ENDPOINT
        if (response.status != STATUS_OK) return ReservationOutcome.NO_ROOM
        val reservation = protocol.readReservation(response.body) ?: return ReservationOutcome.UNREADABLE
        val isNew = granted.isNew(choice.endpoint, reservation)
        return if (isNew || !mayBeCopy) ReservationOutcome.GRANTED else ReservationOutcome.REPEATED
    }

    private fun recordHealth(
        choice: EndpointChoice,
        outcome: ReservationOutcome,
    ) {
        val tracker = selector.tracker(choice.endpoint.id)
        if (outcome == ReservationOutcome.UNANSWERED && client.accepts(choice.endpoint)) tracker.recordUnreachable("reservation")
        if (outcome == ReservationOutcome.WRONG_ENDPOINT) tracker.recordReplaced("reservation")
    }

    private class ReservationResult(
        val outcome: ReservationOutcome,
        val admission: Admission? = null,
    )

    private companion object {
        const val STATUS_OK = 200

        /** A success that grants nothing new answers an earlier request, such as a release. */
        val FOREIGN_RESPONSES = setOf(ReservationOutcome.UNREADABLE, ReservationOutcome.REPEATED)

        /** Covers a prefill that is queued at another engine; the platform allows 2 s at most. */
        const val RESERVATION_TTL_MS = 2_000L

        /** Limits how long a probe that could not be released blocks KV cache. */
        const val PROBE_TTL_MS = 100L

        /** A healthy engine responds within a few ms. */
        const val RESERVE_TIMEOUT_MS = 150L
    }
}
