package io.knapweedferry.telemetry

import io.knapweedferry.api.Rank
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Counters and latency histograms of an entry that routes by host and path. All label sets are bounded. */
public class RoutingMetrics(
    refusalReasons: List<String>,
    retryReasons: List<String>,
    storeCalls: List<String>,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val meters = MeterFactory(registry)
    private val refusals = refusalReasons.associateWith { meters.counter("routed.refusals", "reason" to it) }
    private val retries = retryReasons.associateWith { meters.counter("routed.retries", "reason" to it) }
    private val otherRefusals = meters.counter("routed.refusals", "reason" to "other")
    private val otherRetries = meters.counter("routed.retries", "reason" to "other")
    private val delivered = STATUS_CLASSES.associateWith { meters.counter("routed.answers", "status" to "${it}xx") }
    private val answerTimes = Rank.entries.associateWith { meters.timer("routed.answer", it, ANSWER_BOUNDS_MS) }
    private val firstBytes = Rank.entries.associateWith { meters.timer("routed.first.byte", it, ANSWER_BOUNDS_MS) }
    private val reservations =
        ReservationOutcome.entries.associateWith { meters.timer("routed.reservation", "outcome" to it.label, RESERVATION_BOUNDS_MS) }
    private val gateWaits = Rank.entries.associateWith { meters.timer("routed.gate.wait", it, ANSWER_BOUNDS_MS) }
    private val gone = meters.counter("routed.callers.gone")
    private val storeOk = storeCalls.associateWith { meters.counter("store.calls", "call" to it, "result" to "ok") }
    private val storeFailed = storeCalls.associateWith { meters.counter("store.calls", "call" to it, "result" to "failed") }
    private val droppedLines = meters.counter("log.lines.dropped")
    private val connections = AtomicInteger()

    init {
        meters.gauge("routed.caller.connections", "open connections of callers", emptyList()) { connections.get() }
    }

    /** Metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    /** Counts an answer of an endpoint that reached its caller, with the times since the arrival of the request. */
    public fun delivered(
        rank: Rank?,
        status: Int,
        elapsedMs: Long,
        firstByteMs: Long?,
    ) {
        delivered[status / STATUS_CLASS]?.increment()
        rank ?: return
        record(answerTimes.getValue(rank), elapsedMs)
        firstByteMs?.let { record(firstBytes.getValue(rank), it) }
    }

    /** Counts an answer that the entry gave itself. */
    public fun refused(reason: String): Unit = (refusals[reason] ?: otherRefusals).increment()

    /** Counts a further attempt for a request. */
    public fun retried(reason: String): Unit = (retries[reason] ?: otherRetries).increment()

    /** Counts a request for a reservation and how long its answer took. */
    public fun reservationAnswered(
        outcome: ReservationOutcome,
        elapsedMs: Long,
    ): Unit = record(reservations.getValue(outcome), elapsedMs)

    /** Notes how long a model request waited for room, whether it got any or not. */
    public fun gateLeft(
        rank: Rank,
        waitedMs: Long,
    ): Unit = record(gateWaits.getValue(rank), waitedMs)

    public fun callerGone(): Unit = gone.increment()

    public fun callerConnections(count: Int): Unit = connections.set(count)

    public fun storeCalled(
        call: String,
        isOk: Boolean,
    ) {
        (if (isOk) storeOk else storeFailed)[call]?.increment()
    }

    public fun logLinesDropped(count: Int): Unit = droppedLines.increment(count.toDouble())

    private fun record(
        timer: Timer,
        elapsedMs: Long,
    ) = timer.record(elapsedMs, TimeUnit.MILLISECONDS)

    private companion object {
        const val STATUS_CLASS = 100
        val STATUS_CLASSES = 1..5

        // The target latencies of today's deployments are bounds themselves, so that the share within them is exact.
        val ANSWER_BOUNDS_MS = longArrayOf(10, 25, 50, 100, 121, 145, 193, 300, 600, 800, 1_000, 2_000, 5_000, 14_000)

        /** A reservation takes a few ms; one that is not answered ends at 150 ms. */
        val RESERVATION_BOUNDS_MS = longArrayOf(2, 5, 10, 25, 50, 100, 150)
    }
}
