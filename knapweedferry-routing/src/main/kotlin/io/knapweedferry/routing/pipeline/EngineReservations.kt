package io.knapweedferry.routing.pipeline

import arrow.core.getOrElse
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.telemetry.ReservationOutcome
import io.knapweedferry.telemetry.RoutingMetrics
import kotlin.time.TimeSource

/** Asks engines for reservations of KV cache and gives them back. Confined to the event loop. */
internal class EngineReservations(
    private val client: EndpointClient,
    private val selector: EndpointSelector,
    private val dialect: CallDialect,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    /**
     * Reserves what the run of [ticket] needs if its head room is free as well. Both are asked for in one piece, so that an
     * engine without room sets nothing aside meanwhile that another request could use, and given back before the run's part
     * is reserved.
     */
    suspend fun reserve(
        ticket: AdmissionTicket,
        choice: EndpointChoice,
        engine: EngineProfile,
    ): Admission? {
        val maxTtlMs = engine.maxReservationMs ?: return Admission(choice, null)
        val began = timeSource.markNow()
        val probe = request(choice, ticket.tokensWithHeadroom(engine), minOf(PROBE_TTL_MS, maxTtlMs))
        val run =
            probe.admission?.let {
                releaseAndAwait(it)
                request(choice, ticket.reservedTokens, minOf(RESERVATION_TTL_MS, maxTtlMs))
            }
        recordAttempt(ticket, (run ?: probe).outcome, began.elapsedNow().inWholeMilliseconds)
        return run?.admission
    }

    private suspend fun releaseAndAwait(admission: Admission) {
        val reservation = admission.reservation ?: return
        client.sendControl(admission.choice.endpoint, dialect.releaseReservation(reservation), RESERVE_TIMEOUT_MS)
    }

    fun release(admission: Admission) {
        val reservation = admission.reservation ?: return
        client.sendControlAsync(admission.choice.endpoint, dialect.releaseReservation(reservation))
    }

    private fun recordAttempt(
        ticket: AdmissionTicket,
        outcome: ReservationOutcome,
        elapsedMs: Long,
    ) {
        metrics.reservationAnswered(outcome, elapsedMs)
        val wait = ticket.job.record.admissionWait ?: return
        wait.reservationRequests++
        wait.reservationMs += elapsedMs
        if (outcome == ReservationOutcome.UNANSWERED) wait.unansweredRequests++
    }

    private suspend fun request(
        choice: EndpointChoice,
        tokens: Int,
        ttlMs: Long,
    ): Result {
        val tracker = selector.tracker(choice.endpoint.id)
        val request = dialect.reserve(choice.endpoint.id, tokens, ttlMs)
        val response =
            client.sendControl(choice.endpoint, request, RESERVE_TIMEOUT_MS).getOrElse {
                tracker.noteUnreachable("reservation")
                return Result(ReservationOutcome.UNANSWERED)
            }
        if (dialect.isWrongEndpoint(response.status, response.headers)) {
            tracker.noteReplaced("reservation")
            return Result(ReservationOutcome.WRONG_ENDPOINT)
        }
        if (response.status != STATUS_OK) return Result(ReservationOutcome.NO_ROOM)
        val reservation = dialect.readReservation(response.body) ?: return Result(ReservationOutcome.UNREADABLE)
        return Result(ReservationOutcome.GRANTED, Admission(choice, reservation))
    }

    private class Result(
        val outcome: ReservationOutcome,
        val admission: Admission? = null,
    )

    private companion object {
        const val STATUS_OK = 200

        /** Covers a prefill that is queued at another engine; the platform bounds it to 2 s. */
        const val RESERVATION_TTL_MS = 2_000L

        /** Bounds what a probe that is not given back costs. */
        const val PROBE_TTL_MS = 100L

        /** An engine answers within some ms. */
        const val RESERVE_TIMEOUT_MS = 150L
    }
}
