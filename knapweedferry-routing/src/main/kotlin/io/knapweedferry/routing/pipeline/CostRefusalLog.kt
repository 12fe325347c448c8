package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.admission.CostRefusal
import io.knapweedferry.telemetry.AdmissionRefusalCause
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Counts the requests of one service that the decision by cost refuses, and writes a summary of them at most once in
 * [SUMMARY_INTERVAL_MS]; each request has its own line besides. Confined to the event loop.
 */
internal class CostRefusalLog(
    private val service: ServiceName,
    private val events: EventLog,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource,
) {
    private val counts = HashMap<String, Int>()
    private var lastSummary: TimeMark? = null

    fun record(
        ticket: AdmissionTicket,
        refusal: CostRefusal,
    ) {
        val cause = AdmissionRefusalCause.valueOf(refusal.cause.name)
        val rank = Rank.entries[ticket.priority.coerceIn(0, Rank.entries.lastIndex)]
        metrics.countAdmissionRefusal(cause, rank)
        counts.merge("${cause.name}/${rank.name}".lowercase(), 1, Int::plus)
        if ((lastSummary?.elapsedNow() ?: Long.MAX_VALUE.milliseconds) < SUMMARY_INTERVAL_MS.milliseconds) return
        events.write(
            LogEvent.ADMISSION_REFUSALS,
            "service" to service.value,
            "refused" to counts.entries.sortedBy { it.key }.joinToString(" ") { "${it.key}=${it.value}" },
            "wait_ms" to refusal.waitMs.toInt(),
        )
        counts.clear()
        lastSummary = timeSource.markNow()
    }

    private companion object {
        /** A few lines for one burst of load, which lasts 4 to 11 s. */
        const val SUMMARY_INTERVAL_MS = 2_000L
    }
}
