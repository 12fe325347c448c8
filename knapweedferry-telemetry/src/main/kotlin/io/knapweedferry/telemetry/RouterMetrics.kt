package io.knapweedferry.telemetry

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.UnknownReason
import io.knapweedferry.platform.PlatformError
import io.micrometer.core.instrument.Counter
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.toJavaDuration
import kotlin.time.Duration as KotlinDuration

/**
 * Counters, timers and gauges of one process. Label cardinality is bounded. All counters and timers are registered at startup,
 * so that a counter without events is exported as 0 instead of being absent.
 */
public class RouterMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val meters = MeterFactory(registry)
    private val refusals = RefusalReason.entries.associateWith { meters.counter("refusals", "reason" to it.code) }
    private val retries = RetryReason.entries.associateWith { meters.counter("retries", "reason" to it.code) }
    private val failures = FailureReason.entries.associateWith { meters.counter("failures", "reason" to it.code) }
    private val unknownOutcomes = UnknownReason.entries.associateWith { meters.counter("unknown.outcomes", "reason" to it.code) }
    private val droppedFrames = DroppedFrameReason.entries.associateWith { meters.counter("dropped.frames", "reason" to it.label) }
    private val requests = requestCounters()
    private val requestsWithinTargets = Rank.entries.associateWith { meters.counter("requests.within.targets", "rank" to it.label) }
    private val deliveredTokens = Rank.entries.associateWith { meters.counter("delivered.tokens", "rank" to it.label) }
    private val firstTokenTimers = Rank.entries.associateWith { meters.timer("first.token", it, FIRST_TOKEN_BOUNDS_MS) }
    private val interTokenTimers = Rank.entries.associateWith { meters.timer("inter.token", it, INTER_TOKEN_BOUNDS_MS) }
    private val platformErrors = platformErrorCounters()
    private val prefillTokens = meters.counter("prefill.tokens")
    private val wastedPrefillTokens = meters.counter("wasted.prefill.tokens")
    private val auditBytes = meters.counter("audit.bytes")
    private val auditDrops = meters.counter("audit.dropped.records")

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    /** Counts a request that this process refused. */
    public fun countRefusal(reason: RefusalReason): Unit = refusals.getValue(reason).increment()

    /** Counts a retry of a request. */
    public fun countRetry(reason: RetryReason): Unit = retries.getValue(reason).increment()

    /** Counts a failed attempt. */
    public fun countFailure(reason: FailureReason): Unit = failures.getValue(reason).increment()

    /** Counts a request that may or may not have taken effect. */
    public fun countUnknownOutcome(reason: UnknownReason): Unit = unknownOutcomes.getValue(reason).increment()

    /** Records the outcome of a finished request. */
    public fun recordFinished(
        kind: RequestKind,
        rank: Rank,
        outcome: Outcome,
    ): Unit = requests.getValue(Triple(kind, rank, OutcomeKind.of(outcome))).increment()

    /** Counts a completed request that met both latency targets: time to first token and inter-token latency. */
    public fun countRequestWithinTargets(rank: Rank): Unit = requestsWithinTargets.getValue(rank).increment()

    /** Counts tokens delivered to the caller. */
    public fun countDeliveredTokens(
        rank: Rank,
        tokenCount: Int,
    ): Unit = deliveredTokens.getValue(rank).increment(tokenCount.toDouble())

    /** Records the time to first token, measured from the arrival of the request. */
    public fun recordFirstToken(
        rank: Rank,
        elapsed: KotlinDuration,
    ): Unit = firstTokenTimers.getValue(rank).record(elapsed.toJavaDuration())

    /** Records the time between two consecutive tokens of a response. */
    public fun recordInterToken(
        rank: Rank,
        elapsed: KotlinDuration,
    ): Unit = interTokenTimers.getValue(rank).record(elapsed.toJavaDuration())

    /** Counts prompt tokens that an engine computed, excluding cached ones. */
    public fun countPrefillTokens(promptTokens: Int): Unit = prefillTokens.increment(promptTokens.toDouble())

    /** Counts computed prompt tokens whose KV cache was not used by any decode. */
    public fun countWastedPrefillTokens(promptTokens: Int): Unit = wastedPrefillTokens.increment(promptTokens.toDouble())

    /** Counts a dropped session frame. */
    public fun countDroppedFrame(reason: DroppedFrameReason): Unit = droppedFrames.getValue(reason).increment()

    /** Counts a failed call to an external system. */
    public fun countPlatformError(
        system: PlatformSystem,
        error: PlatformError,
    ): Unit = platformErrors.getValue(system to PlatformErrorKind.of(error)).increment()

    /** Counts bytes of audit batches appended to the log. */
    public fun countAuditBytes(bytes: Int): Unit = auditBytes.increment(bytes.toDouble())

    /** Counts audit records dropped because the buffer was full or the log rejected them. */
    public fun countDroppedAuditRecords(records: Int): Unit = auditDrops.increment(records.toDouble())

    /**
     * Registers a gauge that reads [value] at each scrape. [name] consists of words separated by dots; the common prefix is
     * added. Registering the same name and labels again has no effect.
     */
    public fun registerGauge(
        name: String,
        description: String,
        vararg labels: GaugeLabel,
        value: () -> Number,
    ): Unit = meters.gauge(name, description, labels.toList(), value)

    private fun requestCounters(): Map<Triple<RequestKind, Rank, OutcomeKind>, Counter> =
        RequestKind.entries
            .flatMap { kind -> Rank.entries.flatMap { rank -> OutcomeKind.entries.map { Triple(kind, rank, it) } } }
            .associateWith { (kind, rank, outcome) ->
                meters.counter("requests", "kind" to kind.label, "rank" to rank.label, "outcome" to outcome.label)
            }

    private fun platformErrorCounters(): Map<Pair<PlatformSystem, PlatformErrorKind>, Counter> =
        PlatformSystem.entries
            .flatMap { system -> PlatformErrorKind.entries.map { system to it } }
            .associateWith { (system, error) -> meters.counter("platform.errors", "system" to system.label, "error" to error.label) }

    private companion object {
        // The latency targets, 550 ms and 25 ms, are bucket bounds, so that the share of requests within them is exact.
        val FIRST_TOKEN_BOUNDS_MS = longArrayOf(50, 100, 200, 350, 550, 800, 1_200, 2_000, 5_000, 10_000, 30_000)
        val INTER_TOKEN_BOUNDS_MS = longArrayOf(5, 10, 15, 20, 25, 30, 40, 60, 100, 250, 1_000)
    }
}
