package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason

/** First-come, first-served gate that ignores ranks. Baseline for comparison with other gates. */
public class FifoGate(
    private val limits: GateLimits,
) : AdmissionGate {
    private val queued = ArrayDeque<Ticket>()
    private val holders = HashMap<TicketId, Ticket>()

    override fun submit(
        ticket: Ticket,
        nowMs: Long,
    ): GateDecisions {
        if (ticket.kvBlocks > limits.kvBlocks) return refuse(ticket, RefusalReason.PROMPT_TOO_LONG)
        if (queued.size >= limits.queueLimit) return refuse(ticket, RefusalReason.QUEUE_FULL)
        queued.addLast(ticket)
        return GateDecisions(granted = grantQueued())
    }

    override fun release(
        id: TicketId,
        nowMs: Long,
    ): GateDecisions {
        holders.remove(id) ?: queued.removeAll { it.id == id }
        return GateDecisions(granted = grantQueued())
    }

    override fun expire(nowMs: Long): GateDecisions {
        val late = queued.filter { it.grantDeadlineMs <= nowMs }
        queued.removeAll(late.toSet())
        val refused = late.associate { it.id to Refusal(RefusalReason.DEADLINE, "waited until its deadline") }
        return GateDecisions(granted = grantQueued(), refused = refused)
    }

    override fun nextDeadlineMs(): Long? = queued.minOfOrNull { it.grantDeadlineMs }

    override fun observeInterTokenMs(interTokenMs: Double): Unit = Unit

    override fun observeServiceMs(serviceMs: Double): Unit = Unit

    override fun load(nowMs: Long): GateLoad =
        GateLoad(
            freeSlots = limits.slots - holders.size,
            freeKvBlocks = freeKvBlocks(),
            queuedUrgent = queued.count { it.rank == Rank.URGENT },
            queuedStandard = queued.count { it.rank == Rank.STANDARD },
            queuedBackground = queued.count { it.rank == Rank.BACKGROUND },
            waitMs = 0,
            interTokenMs = 0,
        )

    private fun grantQueued(): List<TicketId> {
        val granted = mutableListOf<TicketId>()
        while (queued.isNotEmpty() && fits(queued.first())) {
            val next = queued.removeFirst()
            holders[next.id] = next
            granted += next.id
        }
        return granted
    }

    private fun fits(ticket: Ticket): Boolean = holders.size < limits.slots && ticket.kvBlocks <= freeKvBlocks()

    private fun freeKvBlocks(): Int = limits.kvBlocks - holders.values.sumOf { it.kvBlocks }

    private fun refuse(
        ticket: Ticket,
        reason: RefusalReason,
    ) = GateDecisions(refused = mapOf(ticket.id to Refusal(reason)))
}
