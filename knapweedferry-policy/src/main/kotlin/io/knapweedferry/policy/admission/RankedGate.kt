package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlin.math.ceil
import kotlin.math.roundToInt

/**
 * Gate that serves ranks in order with a floor for each lower rank and fair turns between organisations, keeps the batch
 * within the target for the time between tokens, and refuses early what cannot be granted in time. Each decision is a
 * class of its own; this one applies them in order.
 */
public class RankedGate(
    limits: GateLimits,
    settings: RankedGateSettings,
) : AdmissionGate {
    private val queue = RankQueue()
    private val held = HeldCapacity(limits)
    private val estimate = ServiceEstimate()
    private val order = GrantOrder(queue, held)
    private val forecast = WaitForecast(queue, held, estimate)
    private val displacement = Displacement(queue)
    private val preemption = Preemption(held)
    private var settings = settings
    private var floors = Floors(settings.floorPercent)
    private var concurrency = ConcurrencyLimit(limits.slots, settings.interTokenTargetMs)
    private var lastMs = Long.MIN_VALUE
    private var limitRose = false

    override fun offer(
        ticket: Ticket,
        nowMs: Long,
    ): GateChanges {
        advance(nowMs)
        refusalOnSight(ticket, nowMs)?.let { return GateChanges(refused = mapOf(ticket.id to it)) }
        queue.add(ticket)
        val granted = grantWaiting().toMutableList()
        val refused = LinkedHashMap<TicketId, Refusal>()
        if (queue.size > held.limits.queueLimit) {
            val displaced = displacement.choose(ticket, floors, held.limits.queueLimit)
            queue.remove(displaced.id)
            refused[displaced.id] = refuse(RefusalReason.QUEUE_FULL, "the queue is full of work at least as urgent", forecastMs(displaced))
        }
        val preempted = preemptForUrgent(nowMs)
        hopeless(ticket, nowMs)?.let {
            queue.remove(ticket.id)
            refused[ticket.id] = it
        }
        // A ticket that left the queue may have held back smaller ones.
        if (refused.isNotEmpty()) granted += grantWaiting()
        return GateChanges(granted, refused, preempted)
    }

    override fun release(
        id: TicketId,
        nowMs: Long,
    ): GateChanges {
        advance(nowMs)
        queue.remove(id) ?: held.release(id)
        return GateChanges(granted = grantWaiting(), preempted = preemptForUrgent(nowMs))
    }

    override fun expire(nowMs: Long): GateChanges {
        advance(nowMs)
        val refused = LinkedHashMap<TicketId, Refusal>()
        for (waiting in queue.tickets.toList()) {
            if (waiting.ticket.grantByMs > nowMs) continue
            queue.remove(waiting.ticket.id)
            refused[waiting.ticket.id] = refuse(RefusalReason.DEADLINE, "waited until its deadline", forecastMs(waiting.ticket))
        }
        val granted = grantWaiting().toMutableList()
        val preempted = preemptForUrgent(nowMs)
        refused += refuseOvertaken(nowMs)
        granted += grantWaiting()
        return GateChanges(granted, refused, preempted)
    }

    /**
     * Earliest time at which [expire] has work. This is the time of the last call if the concurrency limit rose since, and
     * otherwise the next deadline or the time from which an urgent ticket needs preemption.
     */
    override fun nextDeadlineMs(): Long? {
        if (limitRose && queue.size > 0) return lastMs
        val deadlineMs = queue.tickets.minOfOrNull { it.ticket.grantByMs } ?: return null
        return minOf(deadlineMs, nextPreemptionMs() ?: deadlineMs)
    }

    override fun observeInterTokenMs(interTokenMs: Double) {
        val before = concurrency.value
        concurrency.observe(interTokenMs, held.usedSlots)
        if (concurrency.value > before) limitRose = true
    }

    override fun observeServiceMs(serviceMs: Double): Unit = estimate.observeServiceMs(serviceMs)

    override fun load(nowMs: Long): GateLoad =
        GateLoad(
            freeSlots = (concurrency.value - held.usedSlots).coerceAtLeast(0),
            freePieces = held.freePieces,
            queuedUrgent = queue.count(Rank.URGENT),
            queuedStandard = queue.count(Rank.STANDARD),
            queuedBackground = queue.count(Rank.BACKGROUND),
            waitMs = forecast.ofNewMs(Rank.STANDARD, null, null, concurrency.value, floors).roundToInt(),
            interTokenMs = concurrency.meanMs.roundToInt(),
        )

    /**
     * Applies new limits and settings. Holders keep their capacity, and what was learned about the concurrency limit is
     * kept unless the target changed.
     */
    override fun update(
        limits: GateLimits,
        settings: RankedGateSettings,
        nowMs: Long,
    ): GateChanges {
        advance(nowMs)
        if (settings.interTokenTargetMs != this.settings.interTokenTargetMs) {
            concurrency = ConcurrencyLimit(limits.slots, settings.interTokenTargetMs)
        }
        if (settings.floorPercent != this.settings.floorPercent) floors = Floors(settings.floorPercent)
        concurrency.slots = limits.slots
        held.limits = limits
        this.settings = settings
        val tooLarge = queue.tickets.map { it.ticket }.filter { it.pieces > limits.pieces }
        tooLarge.forEach { queue.remove(it.id) }
        val refused = tooLarge.associate { it.id to Refusal(RefusalReason.PROMPT_TOO_LONG) }
        return GateChanges(grantWaiting(), refused, preemptForUrgent(nowMs))
    }

    private fun advance(nowMs: Long) {
        lastMs = nowMs
        floors.accrue(nowMs, queue, held, concurrency.value, estimate.meanServiceMs)
    }

    private fun refusalOnSight(
        ticket: Ticket,
        nowMs: Long,
    ): Refusal? {
        if (ticket.id in queue || ticket.id in held) return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS)
        if (ticket.pieces > held.limits.pieces) return Refusal(RefusalReason.PROMPT_TOO_LONG)
        if (ticket.grantByMs < nowMs) return refuse(RefusalReason.DEADLINE, "arrived after its deadline", forecastMs(ticket))
        return null
    }

    private fun grantWaiting(): List<TicketId> {
        limitRose = false
        val granted = mutableListOf<TicketId>()
        while (true) {
            val choice = order.next(concurrency.value, floors, estimate.meanServiceMs) ?: return granted
            val ticket = choice.waiting.ticket
            choice.overtaken.forEach { it.overtakenBy(ticket) }
            queue.serve(choice.waiting)
            held.hold(ticket, choice.byFloor)
            estimate.observePieces(ticket.pieces)
            granted += ticket.id
        }
    }

    private fun preemptForUrgent(nowMs: Long): List<TicketId> {
        val late = urgentForecasts().filter { (ticket, waitMs) -> isLate(ticket, waitMs, nowMs) }.map { it.first }
        if (late.isEmpty()) return emptyList()
        val chosen = preemption.choose(late, concurrency.value, floors)
        chosen.forEach(held::preempt)
        return chosen
    }

    private fun isLate(
        ticket: Ticket,
        waitMs: Double,
        nowMs: Long,
    ): Boolean = waitMs + settings.preemptionLeadMs >= ticket.grantByMs - nowMs

    private fun nextPreemptionMs(): Long? {
        if (!preemption.isPossible(concurrency.value, floors)) return null
        return urgentForecasts()
            .map { (ticket, waitMs) -> ticket.grantByMs - settings.preemptionLeadMs - ceil(waitMs).toLong() }
            .filter { it > lastMs }
            .minOrNull()
    }

    /** Without preemption, so that a ticket for which holders already leave keeps its claim on their places. */
    private fun urgentForecasts(): List<Pair<Ticket, Double>> =
        forecast.ofWaitingMs(Rank.URGENT, concurrency.value, floors, preemption = false)

    /** Refusal of [ticket] if it waits and its forecast lies beyond its deadline. */
    private fun hopeless(
        ticket: Ticket,
        nowMs: Long,
    ): Refusal? {
        if (!estimate.reliable || ticket.id !in queue) return null
        val waits = forecast.ofWaitingMs(ticket.rank, concurrency.value, floors)
        val waitMs = waits.first { it.first.id == ticket.id }.second
        val leftMs = ticket.grantByMs - nowMs
        if (waitMs <= leftMs) return null
        return refuse(RefusalReason.OVERLOADED, "the expected wait of ${waitMs.roundToInt()} ms exceeds $leftMs ms", waitMs - leftMs)
    }

    /** Refuses waiting tickets that more urgent arrivals have left without a prospect. */
    private fun refuseOvertaken(nowMs: Long): Map<TicketId, Refusal> {
        if (!estimate.reliable) return emptyMap()
        val refused = LinkedHashMap<TicketId, Refusal>()
        for (rank in Floors.LOWER_RANKS) {
            for ((ticket, waitMs) in forecast.ofWaitingMs(rank, concurrency.value, floors)) {
                val leftMs = ticket.grantByMs - nowMs
                if (waitMs <= leftMs * OVERTAKEN_MARGIN) continue
                refused[ticket.id] = refuse(RefusalReason.OVERLOADED, "more urgent work arrived since", waitMs - leftMs)
            }
        }
        refused.keys.forEach(queue::remove)
        return refused
    }

    private fun forecastMs(ticket: Ticket): Double =
        forecast.ofNewMs(ticket.rank, ticket.organisation, ticket.pieces, concurrency.value, floors)

    private fun refuse(
        reason: RefusalReason,
        detail: String,
        retryAfterMs: Double,
    ) = Refusal(reason, detail, ceil(retryAfterMs).toLong().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))

    private companion object {
        /** A ticket that already waits is given up only when its forecast misses by far, because forecasts are noisy. */
        const val OVERTAKEN_MARGIN = 2

        /** Earlier retries would meet the same queue. */
        const val MIN_RETRY_AFTER_MS = 100L

        /** A forecast further ahead says little, and callers must not be sent away for longer than a flood may last. */
        const val MAX_RETRY_AFTER_MS = 60_000L
    }
}
