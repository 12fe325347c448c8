package io.knapweedferry.routing.pipeline

import arrow.core.getOrElse
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.ReservationOutcome
import io.knapweedferry.telemetry.RoutingMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Lets model requests wait, most urgent first, until an engine grants a reservation of the KV cache that the whole run
 * needs. Entries share the engines, so only the engine itself knows whether it has room. Confined to the event loop.
 */
internal class EngineGate(
    private val attempts: Attempts,
    private val chooser: EndpointChooser,
    private val dialect: CallDialect,
    private val scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val queues = HashMap<ServiceName, Queue>()

    /** Waits for room; null if there was none within [waitMs]. */
    suspend fun admit(
        ticket: GateTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): Admission? {
        val queue = queues.getOrPut(ticket.job.service.name) { Queue() }
        val began = timeSource.markNow()
        val wait = queue.add(ticket, engine)
        try {
            return withTimeoutOrNull(waitMs) { ticket.await() }
        } finally {
            queue.remove(ticket)
            wait.elapsedMs = began.elapsedNow().inWholeMilliseconds
            metrics.gateLeft(ticket.job.route.rank, wait.elapsedMs)
        }
    }

    /** Requests that wait for an engine of [service]. */
    fun waiting(service: ServiceName): Int = queues[service]?.size ?: 0

    /** A run at [endpoint] ended, so that it may have room again. */
    fun noteRoom(
        service: ServiceName,
        endpoint: EndpointId,
    ) {
        queues[service]?.noteRoom(endpoint)
    }

    private inner class Queue {
        private val tickets = ArrayList<GateTicket>()
        private val refusals = HashMap<EndpointId, Refusal>()
        private val wakeUps = Channel<Unit>(Channel.CONFLATED)
        private var running = false

        val size: Int get() = tickets.size

        fun add(
            ticket: GateTicket,
            engine: EngineProfile,
        ): GateWait {
            val wait = GateWait(tickets.count { it < ticket })
            ticket.job.record.gateWait = wait
            tickets += ticket
            wakeUps.trySend(Unit)
            if (!running) serve(engine)
            return wait
        }

        private fun serve(engine: EngineProfile) {
            running = true
            scope.launch {
                try {
                    while (tickets.isNotEmpty()) grantNext(engine)
                } finally {
                    running = false
                }
            }
        }

        fun remove(ticket: GateTicket) {
            tickets -= ticket
            val admission = ticket.takeUnclaimed() ?: return
            release(admission)
        }

        fun noteRoom(endpoint: EndpointId) {
            refusals.remove(endpoint)
            wakeUps.trySend(Unit)
        }

        private suspend fun grantNext(engine: EngineProfile) {
            val ticket = tickets.min()
            val tokens = ticket.neededTokens(engine)
            val choice =
                chooser.chooseEngine(
                    ticket.engines().filterNot { refuses(it, tokens) },
                    EndpointStage.DECODE,
                    ticket.job.call.traits,
                    engine,
                    ticket.fillOrder,
                )
            if (choice == null) {
                withTimeoutOrNull(FULL_MS) { wakeUps.receive() }
                return
            }
            val admission = reserve(ticket, choice, engine)
            if (admission == null) {
                refusals[choice.endpoint.id] = Refusal(tokens, timeSource.markNow())
            } else if (ticket in tickets) {
                tickets -= ticket
                ticket.granted.complete(admission)
            } else {
                release(admission)
            }
        }

        /** An engine that had no room for a large reservation may have room for a smaller one. */
        private fun refuses(
            endpoint: RoutedEndpoint,
            tokens: Int,
        ): Boolean = refusals[endpoint.id]?.let { tokens >= it.tokens && it.since.elapsedNow().inWholeMilliseconds < FULL_MS } ?: false
    }

    /** Reservation of [tokens] for which an engine had no room. */
    private class Refusal(
        val tokens: Int,
        val since: TimeMark,
    )

    /** Reserves what the run of [ticket] needs if its head room is free as well, which is asked for and given back at once. */
    private suspend fun reserve(
        ticket: GateTicket,
        choice: Choice,
        engine: EngineProfile,
    ): Admission? {
        val maxTtlMs = engine.maxReservationMs ?: return Admission(choice, null)
        val began = timeSource.markNow()
        val run = take(choice, ticket.reservedTokens, minOf(RESERVATION_TTL_MS, maxTtlMs))
        val headRoom = run.admission?.let { take(choice, ticket.headRoomTokens(engine), minOf(HEAD_ROOM_TTL_MS, maxTtlMs)) }
        val outcome =
            when {
                headRoom == null -> run.outcome
                headRoom.outcome == ReservationOutcome.NO_ROOM -> ReservationOutcome.NO_HEAD_ROOM
                else -> headRoom.outcome
            }
        note(ticket, outcome, began.elapsedNow().inWholeMilliseconds)
        headRoom?.admission?.let(::release)
        if (outcome == ReservationOutcome.GRANTED) return run.admission
        run.admission?.let(::release)
        return null
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
            ledger.noteUnreachable("wrong endpoint")
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

    private fun release(admission: Admission) {
        val reservation = admission.reservation ?: return
        attempts.controlLater(admission.choice.endpoint, dialect.releaseReservation(reservation))
    }

    private companion object {
        const val STATUS_OK = 200

        /** An engine without room is asked again after this time, or when a run of this entry there ends. */
        const val FULL_MS = 150L

        /** Covers a prefill that is queued at another engine; the platform bounds it to 2 s. */
        const val RESERVATION_TTL_MS = 2_000L

        /** Bounds what a lost release of head room costs. */
        const val HEAD_ROOM_TTL_MS = 100L

        /** An engine answers within some ms. */
        const val RESERVE_TIMEOUT_MS = 150L
    }
}
