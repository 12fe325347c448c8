package io.knapweedferry.routing.pipeline

import io.knapweedferry.policy.admission.GrantRateEstimator
import kotlin.time.TimeSource

/** Serves requests by class, priority and time waited, and refuses those that the count of recent grants leaves no time for. */
internal class PriorityOrder(
    timeSource: TimeSource,
) : AdmissionOrder {
    private val grantRate = GrantRateEstimator(timeSource)

    /** The order of two requests may change with time, so positions are read once before sorting. */
    override fun sorted(tickets: List<AdmissionTicket>): List<AdmissionTicket> =
        tickets.map { it to it.queuePosition }.sortedBy { it.second }.map { it.first }

    override fun ahead(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): Int = tickets.count { it.queuePosition < ticket.queuePosition }

    override fun refusal(
        ticket: AdmissionTicket,
        ahead: Int,
    ): AdmissionRefusal? {
        val forecastMs = grantRate.waitMs(ahead) ?: return null
        return if (forecastMs <= ticket.remainingWaitMs) null else AdmissionRefusal("hopeless:$ahead/${forecastMs.toInt()}")
    }

    override fun preview(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): AdmissionForecast {
        val ahead = ahead(ticket, tickets)
        return AdmissionForecast(ahead, grantRate.waitMs(ahead), refusal(ticket, ahead)?.step?.substringBefore(':'))
    }

    override fun headroomShare(ticket: AdmissionTicket): Double = ticket.groupHeadroomShare

    override fun recordNoCapacity() = grantRate.recordNoCapacity()

    override fun recordGrant(ticket: AdmissionTicket) = grantRate.recordGrant()

    override fun recordQueueEmpty() = grantRate.recordQueueEmpty()
}
