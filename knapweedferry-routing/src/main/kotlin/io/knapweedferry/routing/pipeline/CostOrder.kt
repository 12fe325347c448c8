package io.knapweedferry.routing.pipeline

import io.knapweedferry.policy.admission.CostPlan
import io.knapweedferry.policy.admission.CostPlanner
import io.knapweedferry.policy.admission.CostRefusal
import io.knapweedferry.policy.admission.GrantedWorkEstimator
import io.knapweedferry.policy.admission.RetryDelay
import io.knapweedferry.policy.admission.ValueHeadroom
import kotlin.random.Random
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Serves and refuses requests so that shortage costs callers least, as [CostPlanner] decides. A plan is kept for a moment,
 * because the queue asks for the order several times for each response of an engine.
 */
internal class CostOrder(
    private val refusals: CostRefusalLog,
    private val timeSource: TimeSource,
    private val random: Random = Random.Default,
) : AdmissionOrder {
    private val grants = GrantedWorkEstimator(timeSource)
    private var current = Planned(emptyList(), CostPlan(emptyList(), emptyMap()), timeSource.markNow())

    override fun sorted(tickets: List<AdmissionTicket>): List<AdmissionTicket> {
        if (!current.isValidFor(tickets)) current = plan(tickets)
        val waiting = tickets.toHashSet()
        return current.order.filter { it in waiting }
    }

    private fun plan(tickets: List<AdmissionTicket>): Planned {
        val planned = tickets.toList()
        return Planned(planned, CostPlanner.plan(planned.map { it.waitingRequest() }, grants.history()), timeSource.markNow())
    }

    override fun ahead(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): Int {
        val step = ticket.waitingRequest().valueStep
        return tickets.count { it.waitingRequest().valueStep <= step }
    }

    override fun refusal(
        ticket: AdmissionTicket,
        ahead: Int,
    ): AdmissionRefusal? {
        val refusal = current.refusals[ticket] ?: return null
        refusals.record(ticket, refusal)
        val request = ticket.waitingRequest()
        val size = "${request.kvTokens}t,${request.runMs.toInt()}ms"
        val inputs = "p${request.priority},v${request.valueStep},$size,${request.timeToAbandonMs.toInt()}left"
        val step = "${refusal.cause.name.lowercase()}:$ahead/${refusal.waitMs.toInt()}/$inputs"
        return AdmissionRefusal(step, RetryDelay.ms(refusal.roomAfterMs, ticket.job.remainingMs, random.nextDouble()))
    }

    override fun preview(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): AdmissionForecast {
        val plan = CostPlanner.plan((tickets + ticket).map { it.waitingRequest() }, grants.history())
        val index = tickets.size
        val refusal = plan.refusals[index] ?: return AdmissionForecast(plan.order.indexOf(index), plan.waitsMs[index], null)
        return AdmissionForecast(ahead(ticket, tickets), refusal.waitMs, refusal.cause.name.lowercase())
    }

    override fun headroomShare(ticket: AdmissionTicket): Double = ValueHeadroom.share(ticket.waitingRequest().valueStep)

    override fun recordNoCapacity() = grants.recordNoCapacity()

    override fun recordGrant(ticket: AdmissionTicket) = grants.recordGrant(ticket.waitingRequest())

    override fun recordQueueEmpty() = grants.recordQueueEmpty()

    /** Plan for [tickets]. */
    private class Planned(
        private val tickets: List<AdmissionTicket>,
        plan: CostPlan,
        private val madeAt: TimeMark,
    ) {
        private val known = tickets.toHashSet()
        val refusals: Map<AdmissionTicket, CostRefusal> = plan.refusals.mapKeys { tickets[it.key] }

        /** The requests to refuse come last. */
        val order: List<AdmissionTicket> = plan.order.map { tickets[it] } + refusals.keys

        /** A plan without one of [waiting] is out of date; requests that have left don't change the order of the others. */
        fun isValidFor(waiting: List<AdmissionTicket>): Boolean =
            madeAt.elapsedNow().inWholeMilliseconds < MAX_PLAN_AGE_MS && waiting.all { it in known }
    }

    private companion object {
        /** The queue wakes up to a few hundred times per second, and values and forecasts change little within this time. */
        const val MAX_PLAN_AGE_MS = 25L
    }
}
