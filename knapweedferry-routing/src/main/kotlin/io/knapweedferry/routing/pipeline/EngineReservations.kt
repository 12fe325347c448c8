package io.knapweedferry.routing.pipeline

import arrow.core.getOrElse
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.telemetry.ReservationOutcome
import io.knapweedferry.telemetry.RoutingMetrics
import kotlin.time.TimeSource

/** Asks engines for reservations of KV cache and gives them back. Confined to the event loop. */
internal class EngineReservations(
    private val attempts: Attempts,
    private val chooser: EndpointChooser,
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
        ticket: GateTicket,
        choice: Choice,
        engine: EngineProfile,
    ): Admission? {
        val maxTtlMs = engine.maxReservationMs ?: return Admission(choice, null)
        val began = timeSource.markNow()
        val probe = take(choice, ticket.neededTokens(engine), minOf(PROBE_TTL_MS, maxTtlMs))
        val run =
            probe.admission?.let {
                giveBack(it)
                take(choice, ticket.reservedTokens, minOf(RESERVATION_TTL_MS, maxTtlMs))
            }
        note(ticket, (run ?: probe).outcome, began.elapsedNow().inWholeMilliseconds)
        return run?.admission
    }

    private suspend fun giveBack(admission: Admission) {
        val reservation = admission.reservation ?: return
        attempts.control(admission.choice.endpoint, dialect.releaseReservation(reservation), RESERVE_TIMEOUT_MS)
    }

    fun release(admission: Admission) {
        val reservation = admission.reservation ?: return
        attempts.controlLater(admission.choice.endpoint, dialect.releaseReservation(reservation))
    }

    private fun note(
        ticket: GateTicket,
        outcome: ReservationOutcome,
        elapsedMs: Long,
    ) {
        metrics.reservationAnswered(outcome, elapsedMs)
        val wait = ticket.job.record.gateWait ?: return
        wait.asked++
        wait.askingMs += elapsedMs
        if (outcome == ReservationOutcome.UNANSWERED) wait.unanswered++
    }

    private suspend fun take(
        choice: Choice,
        tokens: Int,
        ttlMs: Long,
    ): Taken {
        val ledger = chooser.ledger(choice.endpoint.id)
        val request = dialect.reserve(choice.endpoint.id, tokens, ttlMs)
        val answer =
            attempts.control(choice.endpoint, request, RESERVE_TIMEOUT_MS).getOrElse {
                ledger.noteUnreachable("reservation")
                return Taken(ReservationOutcome.UNANSWERED)
            }
        if (dialect.isWrongEndpoint(answer.status, answer.headers)) {
            ledger.noteReplaced("reservation")
            return Taken(ReservationOutcome.WRONG_ENDPOINT)
        }
        if (answer.status != STATUS_OK) return Taken(ReservationOutcome.NO_ROOM)
        val reservation = dialect.readReservation(answer.body) ?: return Taken(ReservationOutcome.UNREADABLE)
        return Taken(ReservationOutcome.GRANTED, Admission(choice, reservation))
    }

    private class Taken(
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
