package io.knapweedferry.telemetry

import io.knapweedferry.api.Rank
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Counters and latency histograms of an entry that routes by host and path. Label cardinality is bounded: reasons that were not
 * passed to the constructor are counted as `other`, and store calls that were not passed are not counted.
 */
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
    private val responses = STATUS_CLASSES.associateWith { meters.counter("routed.answers", "status" to "${it}xx") }
    private val responseTimes = Rank.entries.associateWith { meters.timer("routed.answer", it, RESPONSE_BOUNDS_MS) }
    private val firstByteTimes = Rank.entries.associateWith { meters.timer("routed.first.byte", it, RESPONSE_BOUNDS_MS) }
    private val reservationTimes =
        ReservationOutcome.entries.associateWith { meters.timer("routed.reservation", "outcome" to it.label, RESERVATION_BOUNDS_MS) }
    private val brokenRuns = listOf(true, false).associateWith { meters.counter("routed.runs.broken", "begun" to "$it") }
    private val surplusResponses =
        SurplusKind.entries.associateWith { meters.counter("routed.surplus.responses", "kind" to it.label) }
    private val availabilityChanges =
        AvailabilityChange.entries.associateWith { meters.counter("routed.endpoint.availability.changes", "change" to it.label) }
    private val admissionRefusals =
        AdmissionRefusalCause.entries.associateWith { cause ->
            Rank.entries.associateWith { meters.counter("routed.admission.refusals", "cause" to cause.label, "rank" to it.label) }
        }
    private val admissionWaitTimes = Rank.entries.associateWith { meters.timer("routed.gate.wait", it, RESPONSE_BOUNDS_MS) }
    private val disconnects = meters.counter("routed.callers.gone")
    private val successfulStoreCalls = storeCalls.associateWith { meters.counter("store.calls", "call" to it, "result" to "ok") }
    private val failedStoreCalls = storeCalls.associateWith { meters.counter("store.calls", "call" to it, "result" to "failed") }
    private val storeRestores = meters.counter("store.restores")
    private val earlierEraResponses = meters.counter("store.earlier.era.responses")
    private val droppedLines = meters.counter("log.lines.dropped")
    private val stalledCallers =
        StalledCallerReason.entries.associateWith { meters.counter("routed.callers.stalled", "reason" to it.label) }
    private val connections = AtomicInteger()
    private val unreadCallerBytes = AtomicLong()

    public val quota: QuotaMetrics = QuotaMetrics(meters)

    init {
        meters.gauge("routed.caller.unread.bytes", "response bytes that callers have not read", emptyList()) { unreadCallerBytes.get() }
        meters.gauge("routed.caller.connections", "open connections of callers", emptyList()) { connections.get() }
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    /** Counts an endpoint response delivered to the caller. Times are measured from the arrival of the request. */
    public fun recordDelivered(
        rank: Rank?,
        status: Int,
        elapsedMs: Long,
        firstByteMs: Long?,
    ) {
        responses[status / STATUS_CLASS]?.increment()
        rank ?: return
        record(responseTimes.getValue(rank), elapsedMs)
        firstByteMs?.let { record(firstByteTimes.getValue(rank), it) }
    }

    /** Counts a request that the entry rejected or whose response it cut off, by [reason]. */
    public fun countRefused(reason: String): Unit = (refusals[reason] ?: otherRefusals).increment()

    /** Counts a retry of a request, by [reason]. */
    public fun countRetried(reason: String): Unit = (retries[reason] ?: otherRetries).increment()

    /** Records the result of a reservation request and the time until the response or timeout. */
    public fun recordReservation(
        outcome: ReservationOutcome,
        elapsedMs: Long,
    ): Unit = record(reservationTimes.getValue(outcome), elapsedMs)

    /** Records how long a model request was queued for admission, whether it was admitted or not. */
    public fun recordAdmissionWait(
        rank: Rank,
        waitedMs: Long,
    ): Unit = record(admissionWaitTimes.getValue(rank), waitedMs)

    /** Counts a model request that admission by cost refused, by the rank of its priority. */
    public fun countAdmissionRefusal(
        cause: AdmissionRefusalCause,
        rank: Rank,
    ): Unit = admissionRefusals.getValue(cause).getValue(rank).increment()

    /** Counts a run whose connection was closed by its engine or the network; [hasBegun] if it had delivered events. */
    public fun countBrokenRun(hasBegun: Boolean): Unit = brokenRuns.getValue(hasBegun).increment()

    /** Counts a response, or other data, of an endpoint that belongs to no waiting request. */
    public fun countSurplusResponse(kind: SurplusKind): Unit = surplusResponses.getValue(kind).increment()

    /** Counts what an endpoint said about its availability, and the ends of pauses. */
    public fun countAvailabilityChange(change: AvailabilityChange): Unit = availabilityChanges.getValue(change).increment()

    /** Counts a caller that disconnected before its response was complete. */
    public fun countDisconnectedCaller(): Unit = disconnects.increment()

    /** Counts a caller whose connection was closed because it did not read its response. */
    public fun countStalledCaller(reason: StalledCallerReason): Unit = stalledCallers.getValue(reason).increment()

    /** Sets the number of response bytes that callers have not made room for. */
    public fun setUnreadCallerBytes(bytes: Long): Unit = unreadCallerBytes.set(bytes)

    /** Sets the number of open caller connections. */
    public fun setCallerConnections(count: Int): Unit = connections.set(count)

    /** Counts a call to the platform store, by operation and result. */
    public fun recordStoreCall(
        call: String,
        isSuccessful: Boolean,
    ) {
        (if (isSuccessful) successfulStoreCalls else failedStoreCalls)[call]?.increment()
    }

    /** Counts a restore of the platform store from an older copy that this process has seen. */
    public fun countStoreRestored(): Unit = storeRestores.increment()

    /** Counts a response of the platform store that was rejected because it is of an earlier era, or of an unknown one. */
    public fun countEarlierEraResponse(): Unit = earlierEraResponses.increment()

    /** Counts log lines dropped because the log queue was full. */
    public fun countDroppedLogLines(count: Int): Unit = droppedLines.increment(count.toDouble())

    private fun record(
        timer: Timer,
        elapsedMs: Long,
    ) = timer.record(elapsedMs, TimeUnit.MILLISECONDS)

    private companion object {
        const val STATUS_CLASS = 100
        val STATUS_CLASSES = 1..5

        // Includes the latency targets of current deployments as bucket bounds, so that the share of requests within them is exact.
        val RESPONSE_BOUNDS_MS = longArrayOf(10, 25, 50, 100, 121, 145, 193, 300, 600, 800, 1_000, 2_000, 5_000, 14_000)

        /** A reservation usually takes a few ms and times out after 150 ms. */
        val RESERVATION_BOUNDS_MS = longArrayOf(2, 5, 10, 25, 50, 100, 150)
    }
}
