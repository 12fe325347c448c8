package io.knapweedferry.entry.observe

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RetryReason
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.telemetry.DroppedFrameReason
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RequestKind
import io.knapweedferry.telemetry.RequestTrace
import io.knapweedferry.telemetry.RouterMetrics
import io.knapweedferry.telemetry.TraceStage
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Records the decisions and timings of one request in the audit trace, the metrics and the event log. */
internal class RequestObserver(
    private val trace: RequestTrace,
    private val metrics: RouterMetrics,
    private val events: EventLog,
    private val submit: (RequestTrace, String) -> Unit,
    private val timeSource: TimeSource,
) {
    private val start: TimeMark = timeSource.markNow()
    private var firstTokenLatency: Duration? = null
    private var lastTokenLatency: Duration? = null
    private var deliveredTokens = 0

    fun authenticated(organisation: OrganisationId) {
        trace.organisation = organisation
    }

    fun recordDecision(
        stage: TraceStage,
        decision: String,
        reason: String = "",
        vararg inputs: Pair<String, Any?>,
    ) {
        trace.step(stage, decision, reason, *inputs)
    }

    fun retried(
        reason: RetryReason,
        detail: String,
    ) {
        metrics.countRetry(reason)
        trace.step(TraceStage.RETRY, "next attempt", reason.code, "detail" to detail)
        events.write(LogEvent.REQUEST_RETRIED, "request" to trace.requestId.value, "reason" to reason.code, "detail" to detail)
    }

    fun tokensDelivered(
        rank: Rank,
        tokenCount: Int,
    ) {
        val elapsed = start.elapsedNow()
        val last = lastTokenLatency
        if (last == null) {
            firstTokenLatency = elapsed
            metrics.recordFirstToken(rank, elapsed)
        } else {
            metrics.recordInterToken(rank, (elapsed - last) / tokenCount)
        }
        lastTokenLatency = elapsed
        deliveredTokens += tokenCount
        metrics.countDeliveredTokens(rank, tokenCount)
    }

    fun framesDropped(count: Int) {
        repeat(count) { metrics.countDroppedFrame(DroppedFrameReason.DUPLICATE) }
    }

    fun finished(
        kind: RequestKind,
        rank: Rank,
        outcome: Outcome,
        targets: RankPolicy?,
    ) {
        metrics.recordFinished(kind, rank, outcome)
        if (outcome is Outcome.Completed && targets != null && meetsTargets(targets)) metrics.countRequestWithinTargets(rank)
        recordOutcome(outcome)
        submit(trace, auditOutcome(outcome))
    }

    /** Records a request that was refused before it entered the pipeline; no per-rank metrics are recorded. */
    fun refused(outcome: Outcome.NotRun) {
        recordOutcome(outcome)
        submit(trace, auditOutcome(outcome))
    }

    fun callerDisconnected() {
        trace.step(TraceStage.CANCEL, "cancelled", "the caller's connection broke", "delivered_tokens" to deliveredTokens)
        events.write(LogEvent.CALLER_GONE, "request" to trace.requestId.value)
        submit(trace, "cancelled")
    }

    private fun meetsTargets(targets: RankPolicy): Boolean {
        val first = firstTokenLatency ?: return false
        val last = lastTokenLatency ?: return false
        val gaps = maxOf(deliveredTokens - 1, 1)
        val interTokenMs = (last - first).inWholeMilliseconds.toDouble() / gaps
        return first.inWholeMilliseconds <= targets.firstTokenTargetMs && interTokenMs <= targets.interTokenTargetMs
    }

    private fun recordOutcome(outcome: Outcome) {
        val request = "request" to trace.requestId.value
        when (outcome) {
            is Outcome.Completed -> events.write(LogEvent.REQUEST_COMPLETED, request)
            is Outcome.NotRun -> {
                metrics.countRefusal(outcome.refusal.reason)
                events.write(LogEvent.REQUEST_NOT_RUN, request, "reason" to outcome.refusal.message)
            }
            is Outcome.Failed -> {
                metrics.countFailure(outcome.reason)
                events.write(LogEvent.REQUEST_FAILED, request, "reason" to outcome.reason.code, "detail" to outcome.detail)
            }
            is Outcome.Unknown -> {
                metrics.countUnknownOutcome(outcome.reason)
                events.write(LogEvent.REQUEST_UNKNOWN, request, "reason" to outcome.reason.code, "detail" to outcome.detail)
            }
        }
    }

    private fun auditOutcome(outcome: Outcome): String =
        when (outcome) {
            is Outcome.Completed -> "completed"
            is Outcome.NotRun -> "not_run ${outcome.refusal.reason.code}"
            is Outcome.Failed -> "failed ${outcome.reason.code}"
            is Outcome.Unknown -> "unknown ${outcome.reason.code}"
        }
}
