package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.admission.GrantPace
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.model.EndpointStage
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
 * Requests that wait for an engine of one service. The most urgent one asks first, and the others wait for the answer
 * unless the engine is slow to give one: an engine that does not answer must hold up only the request that asked it.
 * Confined to the event loop.
 */
internal class GateQueue(
    private val reservations: EngineReservations,
    private val chooser: EndpointChooser,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
) {
    private val tickets = ArrayList<GateTicket>()

    /** Reservations that are being asked for. */
    private val questions = HashMap<GateTicket, Question>()
    private val refusals = HashMap<EndpointId, Refusal>()
    private val pace = GrantPace(timeSource)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var running = false

    /** An engine without room is asked again after this time, or when a run of this entry there ends; bounds the work of asking. */
    private var fullMs = MOST_FULL_MS

    val size: Int get() = tickets.size

    fun add(
        ticket: GateTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): GateWait {
        val wait = GateWait(tickets.count { it.turn < ticket.turn })
        ticket.job.record.gateWait = wait
        ticket.waitsUntil = timeSource.markNow() + waitMs.milliseconds
        tickets += ticket
        wakeUps.trySend(Unit)
        if (!running) serve(engine)
        return wait
    }

    fun remove(ticket: GateTicket) {
        tickets -= ticket
        ticket.takeUnclaimed()?.let(reservations::release)
    }

    /** A run at [endpoint] ended. */
    fun noteRoom(endpoint: EndpointId) {
        refusals.remove(endpoint)
        wakeUps.trySend(Unit)
    }

    private fun serve(engine: EngineProfile) {
        running = true
        scope.launch {
            try {
                while (tickets.isNotEmpty()) {
                    refuseHopeless()
                    askNext(engine)
                    withTimeoutOrNull(if (questions.isEmpty()) fullMs else SLOW_ANSWER_MS) { wakeUps.receive() }
                }
            } finally {
                running = false
                pace.noteIdle()
            }
        }
    }

    /** Most urgent first. The order of two requests may change with time, so it is taken at one moment. */
    private fun inTurn(): List<GateTicket> = tickets.map { it to it.turn }.sortedBy { it.second }.map { it.first }

    /** Gives up at once what is not going to get room in time at the pace of the last seconds. */
    private fun refuseHopeless() {
        inTurn().forEachIndexed { ahead, ticket ->
            val forecastMs = pace.waitMs(ahead) ?: return
            if (ticket in questions || ticket.isResumed) return@forEachIndexed
            if (forecastMs <= -ticket.waitsUntil.elapsedNow().inWholeMilliseconds) return@forEachIndexed
            ticket.job.record.note("hopeless:$ahead/${forecastMs.toInt()}")
            tickets -= ticket
            ticket.granted.complete(null)
        }
    }

    private fun askNext(engine: EngineProfile) {
        for (ticket in inTurn()) {
            val question = questions[ticket]
            if (question != null && !question.isSlow) return
            if (question != null) continue
            val choice = choose(ticket, engine)
            // What a more urgent request waits for is not given to a smaller one behind it.
            if (choice == null) return pace.noteFull()
            return ask(ticket, choice, engine)
        }
    }

    private fun choose(
        ticket: GateTicket,
        engine: EngineProfile,
    ): Choice? {
        val tokens = ticket.neededTokens(engine)
        val asked = questions.values.mapTo(HashSet()) { it.endpoint }
        val engines = chooser.reachable(ticket.engines())
        fullMs = (engines.size * MS_PER_S / ASKED_PER_S).coerceIn(LEAST_FULL_MS, MOST_FULL_MS)
        val candidates = engines.filterNot { it.id in asked || refuses(it, tokens) }
        return chooser.chooseEngine(candidates, EndpointStage.DECODE, ticket.job.call.traits, engine, ticket.fillOrder)
    }

    private fun ask(
        ticket: GateTicket,
        choice: Choice,
        engine: EngineProfile,
    ) {
        questions[ticket] = Question(choice.endpoint.id, timeSource.markNow())
        val tokens = ticket.neededTokens(engine)
        scope.launch {
            try {
                settle(ticket, choice, reservations.reserve(ticket, choice, engine), tokens)
            } finally {
                questions.remove(ticket)
                wakeUps.trySend(Unit)
            }
        }
    }

    private fun settle(
        ticket: GateTicket,
        choice: Choice,
        admission: Admission?,
        tokens: Int,
    ) {
        if (admission == null) {
            refusals[choice.endpoint.id] = Refusal(tokens, timeSource.markNow())
            return
        }
        if (ticket !in tickets) return reservations.release(admission)
        tickets -= ticket
        pace.noteGrant()
        ticket.granted.complete(admission)
    }

    /** An engine that had no room for a large reservation may have room for a smaller one. */
    private fun refuses(
        endpoint: RoutedEndpoint,
        tokens: Int,
    ): Boolean = refusals[endpoint.id]?.let { tokens >= it.tokens && it.since.elapsedNow().inWholeMilliseconds < fullMs } ?: false

    /** Reservation of [tokens] for which an engine had no room. */
    private class Refusal(
        val tokens: Int,
        val since: TimeMark,
    )

    private class Question(
        val endpoint: EndpointId,
        private val since: TimeMark,
    ) {
        /** True once the answer takes longer than from an engine that works. */
        val isSlow: Boolean get() = since.elapsedNow().inWholeMilliseconds >= SLOW_ANSWER_MS
    }

    private companion object {
        const val ASKED_PER_S = 100
        const val MS_PER_S = 1_000L
        const val LEAST_FULL_MS = 50L
        const val MOST_FULL_MS = 150L

        /** Two round trips between availability zones and a turn of a busy entry. */
        const val SLOW_ANSWER_MS = 25L
    }
}
