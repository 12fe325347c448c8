package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlin.math.ceil
import kotlin.math.roundToInt

/**
 * Gate that grants capacity by rank, with a guaranteed minimum share (floor) for each lower rank and round robin across
 * organisations. It limits concurrency to meet the inter-token target and refuses tickets early if they are unlikely to be
 * granted in time. Each policy is a class of its own; this class applies them in order.
 */
public class RankedGate(
    limits: GateLimits,
    settings: RankedGateSettings,
) : AdmissionGate {
    private val queue = RankQueue()
    private val held = HeldCapacity(limits)
    private val statistics = ServiceStatistics()
    private val order = GrantOrder(queue, held)
    private val waitEstimator = WaitEstimator(queue, held, statistics)
    private val eviction = QueueEviction(queue)
    private val preemption = Preemption(held)
    private var settings = settings
    private var floors = RankFloors(settings.floorPercent)
    private var concurrencyLimit = AdaptiveConcurrencyLimit(limits.slots, settings.interTokenTargetMs)
    private var lastCallMs = Long.MIN_VALUE
    private var limitIncreased = false

    override fun submit(
        ticket: Ticket,
        nowMs: Long,
    ): GateDecisions {
        advanceTo(nowMs)
        immediateRefusal(ticket, nowMs)?.let { return GateDecisions(refused = mapOf(ticket.id to it)) }
        queue.add(ticket)
        val granted = grantQueued().toMutableList()
        val refused = LinkedHashMap<TicketId, Refusal>()
        if (queue.size > held.limits.queueLimit) {
            val evicted = eviction.select(ticket, floors, held.limits.queueLimit)
            queue.remove(evicted.id)
            refused[evicted.id] = refuse(RefusalReason.QUEUE_FULL, "the queue is full of work at least as urgent", estimatedWaitMs(evicted))
        }
        val preempted = preemptForUrgent(nowMs)
        refusalIfDeadlineUnreachable(ticket, nowMs)?.let {
            queue.remove(ticket.id)
            refused[ticket.id] = it
        }
        // A ticket that left the queue may have blocked smaller ones.
        if (refused.isNotEmpty()) granted += grantQueued()
        return GateDecisions(granted, refused, preempted)
    }

    override fun release(
        id: TicketId,
        nowMs: Long,
    ): GateDecisions {
        advanceTo(nowMs)
        queue.remove(id) ?: held.release(id)
        return GateDecisions(granted = grantQueued(), preempted = preemptForUrgent(nowMs))
    }

    override fun expire(nowMs: Long): GateDecisions {
        advanceTo(nowMs)
        val refused = LinkedHashMap<TicketId, Refusal>()
        for (queued in queue.tickets.toList()) {
            if (queued.ticket.grantDeadlineMs > nowMs) continue
            queue.remove(queued.ticket.id)
            refused[queued.ticket.id] = refuse(RefusalReason.DEADLINE, "waited until its deadline", estimatedWaitMs(queued.ticket))
        }
        val granted = grantQueued().toMutableList()
        val preempted = preemptForUrgent(nowMs)
        refused += refuseUnreachableDeadlines(nowMs)
        granted += grantQueued()
        return GateDecisions(granted, refused, preempted)
    }

    /**
     * Earliest time at which [expire] has to be called: the time of the last call if the concurrency limit has increased
     * since, otherwise the next deadline or the time from which an urgent ticket needs preemption.
     */
    override fun nextDeadlineMs(): Long? {
        if (limitIncreased && queue.size > 0) return lastCallMs
        val deadlineMs = queue.tickets.minOfOrNull { it.ticket.grantDeadlineMs } ?: return null
        return minOf(deadlineMs, nextPreemptionMs() ?: deadlineMs)
    }

    override fun observeInterTokenMs(interTokenMs: Double) {
        val before = concurrencyLimit.value
        concurrencyLimit.observe(interTokenMs, held.usedSlots)
        if (concurrencyLimit.value > before) limitIncreased = true
    }

    override fun observeServiceMs(serviceMs: Double): Unit = statistics.observeServiceMs(serviceMs)

    override fun load(nowMs: Long): GateLoad =
        GateLoad(
            freeSlots = (concurrencyLimit.value - held.usedSlots).coerceAtLeast(0),
            freeKvBlocks = held.freeKvBlocks,
            queuedUrgent = queue.count(Rank.URGENT),
            queuedStandard = queue.count(Rank.STANDARD),
            queuedBackground = queue.count(Rank.BACKGROUND),
            waitMs = waitEstimator.newTicketWaitMs(Rank.STANDARD, null, null, concurrencyLimit.value, floors).roundToInt(),
            interTokenMs = concurrencyLimit.meanInterTokenMs.roundToInt(),
        )

    /**
     * Applies new limits and settings. Granted tickets keep their capacity, and the adaptive concurrency limit keeps its
     * state unless the inter-token target changed.
     */
    override fun update(
        limits: GateLimits,
        settings: RankedGateSettings,
        nowMs: Long,
    ): GateDecisions {
        advanceTo(nowMs)
        if (settings.interTokenTargetMs != this.settings.interTokenTargetMs) {
            concurrencyLimit = AdaptiveConcurrencyLimit(limits.slots, settings.interTokenTargetMs)
        }
        if (settings.floorPercent != this.settings.floorPercent) floors = RankFloors(settings.floorPercent)
        concurrencyLimit.slots = limits.slots
        held.limits = limits
        this.settings = settings
        val tooLarge = queue.tickets.map { it.ticket }.filter { it.kvBlocks > limits.kvBlocks }
        tooLarge.forEach { queue.remove(it.id) }
        val refused = tooLarge.associate { it.id to Refusal(RefusalReason.PROMPT_TOO_LONG) }
        return GateDecisions(grantQueued(), refused, preemptForUrgent(nowMs))
    }

    private fun advanceTo(nowMs: Long) {
        lastCallMs = nowMs
        floors.accrueCredit(nowMs, queue, held, concurrencyLimit.value, statistics.meanServiceMs)
    }

    private fun immediateRefusal(
        ticket: Ticket,
        nowMs: Long,
    ): Refusal? {
        if (ticket.id in queue || ticket.id in held) return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS)
        if (ticket.kvBlocks > held.limits.kvBlocks) return Refusal(RefusalReason.PROMPT_TOO_LONG)
        if (ticket.grantDeadlineMs < nowMs) return refuse(RefusalReason.DEADLINE, "arrived after its deadline", estimatedWaitMs(ticket))
        return null
    }

    private fun grantQueued(): List<TicketId> {
        limitIncreased = false
        val granted = mutableListOf<TicketId>()
        while (true) {
            val selected = order.next(concurrencyLimit.value, floors, statistics.meanServiceMs) ?: return granted
            val ticket = selected.queued.ticket
            selected.overtaken.forEach { it.recordOvertakenBy(ticket) }
            queue.removeGranted(selected.queued)
            held.allocate(ticket, selected.byFloor)
            statistics.observeKvBlocks(ticket.kvBlocks)
            granted += ticket.id
        }
    }

    private fun preemptForUrgent(nowMs: Long): List<TicketId> {
        val late = urgentWaitsMs().filter { (ticket, waitMs) -> needsPreemption(ticket, waitMs, nowMs) }.map { it.first }
        if (late.isEmpty()) return emptyList()
        val chosen = preemption.select(late, concurrencyLimit.value, floors)
        chosen.forEach(held::preempt)
        return chosen
    }

    private fun needsPreemption(
        ticket: Ticket,
        waitMs: Double,
        nowMs: Long,
    ): Boolean = waitMs + settings.preemptionLeadMs >= ticket.grantDeadlineMs - nowMs

    private fun nextPreemptionMs(): Long? {
        if (!preemption.isPossible(concurrencyLimit.value, floors)) return null
        return urgentWaitsMs()
            .map { (ticket, waitMs) -> ticket.grantDeadlineMs - settings.preemptionLeadMs - ceil(waitMs).toLong() }
            .filter { it > lastCallMs }
            .minOrNull()
    }

    /**
     * Ignores pending preemptions, so that a ticket for which capacity is already being preempted still counts as late and
     * that capacity stays assigned to it.
     */
    private fun urgentWaitsMs(): List<Pair<Ticket, Double>> =
        waitEstimator.queuedTicketWaitsMs(Rank.URGENT, concurrencyLimit.value, floors, countPreemptedAsFree = false)

    /** Refuses [ticket] if it is queued and its estimated wait exceeds the time to its deadline. */
    private fun refusalIfDeadlineUnreachable(
        ticket: Ticket,
        nowMs: Long,
    ): Refusal? {
        if (!statistics.isReliable || ticket.id !in queue) return null
        val waits = waitEstimator.queuedTicketWaitsMs(ticket.rank, concurrencyLimit.value, floors)
        val waitMs = waits.first { it.first.id == ticket.id }.second
        val remainingMs = ticket.grantDeadlineMs - nowMs
        if (waitMs <= remainingMs) return null
        return refuse(
            RefusalReason.OVERLOADED,
            "the expected wait of ${waitMs.roundToInt()} ms exceeds $remainingMs ms",
            waitMs - remainingMs,
        )
    }

    /** Refuses queued tickets of lower ranks that will miss their deadline because more urgent tickets arrived. */
    private fun refuseUnreachableDeadlines(nowMs: Long): Map<TicketId, Refusal> {
        if (!statistics.isReliable) return emptyMap()
        val refused = LinkedHashMap<TicketId, Refusal>()
        for (rank in RankFloors.LOWER_RANKS) {
            for ((ticket, waitMs) in waitEstimator.queuedTicketWaitsMs(rank, concurrencyLimit.value, floors)) {
                val remainingMs = ticket.grantDeadlineMs - nowMs
                if (waitMs <= remainingMs * DEADLINE_MARGIN_FACTOR) continue
                refused[ticket.id] = refuse(RefusalReason.OVERLOADED, "more urgent work arrived since", waitMs - remainingMs)
            }
        }
        refused.keys.forEach(queue::remove)
        return refused
    }

    private fun estimatedWaitMs(ticket: Ticket): Double =
        waitEstimator.newTicketWaitMs(ticket.rank, ticket.organisation, ticket.kvBlocks, concurrencyLimit.value, floors)

    private fun refuse(
        reason: RefusalReason,
        detail: String,
        retryAfterMs: Double,
    ) = Refusal(reason, detail, ceil(retryAfterMs).toLong().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))

    private companion object {
        /**
         * Estimates are noisy, so a queued ticket is refused only if its estimate exceeds the remaining time by this
         * factor.
         */
        const val DEADLINE_MARGIN_FACTOR = 2

        /** An earlier retry would find the same queue. */
        const val MIN_RETRY_AFTER_MS = 100L

        /** Longer estimates are unreliable, and callers must not wait longer than a flood may last. */
        const val MAX_RETRY_AFTER_MS = 60_000L
    }
}
