package io.knapweedferry.telemetry

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.UnknownReason
import io.knapweedferry.platform.PlatformError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

/** Guards against counters that are missing until their first increment, and against unbounded label cardinality. */
internal class RouterMetricsSpec {
    private val metrics = RouterMetrics()

    @Test
    fun `each reason has a counter with the initial value 0`() {
        val expected =
            RefusalReason.entries.map { """knapweedferry_refusals_total{reason="${it.code}"} 0.0""" } +
                RetryReason.entries.map { """knapweedferry_retries_total{reason="${it.code}"} 0.0""" } +
                FailureReason.entries.map { """knapweedferry_failures_total{reason="${it.code}"} 0.0""" } +
                UnknownReason.entries.map { """knapweedferry_unknown_outcomes_total{reason="${it.code}"} 0.0""" } +
                DroppedFrameReason.entries.map { """knapweedferry_dropped_frames_total{reason="${it.name.lowercase()}"} 0.0""" }
        assertEquals(emptyList<String>(), expected - metrics.scrape().lines().toSet())
    }

    @Test
    fun `each call updates its own time series`() {
        metrics.countRefusal(RefusalReason.QUEUE_FULL)
        metrics.countRetry(RetryReason.LEASE_LOST)
        metrics.countFailure(FailureReason.ENGINE_LOST)
        metrics.countUnknownOutcome(UnknownReason.SIDECAR_LOST)
        metrics.recordFinished(RequestKind.MODEL, Rank.URGENT, Outcome.NotRun(Refusal(RefusalReason.QUEUE_FULL)))
        metrics.recordFirstToken(Rank.URGENT, 550.milliseconds)
        metrics.recordInterToken(Rank.STANDARD, 26.milliseconds)
        metrics.countDroppedFrame(DroppedFrameReason.LATE)
        metrics.countPlatformError(PlatformSystem.LOG, PlatformError.NoResponse("no answer"))
        metrics.countAuditBytes(7)
        metrics.countDroppedAuditRecords(2)
        val expected =
            listOf(
                """knapweedferry_refusals_total{reason="queue_full"} 1.0""",
                """knapweedferry_retries_total{reason="lease_lost"} 1.0""",
                """knapweedferry_failures_total{reason="engine_lost"} 1.0""",
                """knapweedferry_unknown_outcomes_total{reason="sidecar_lost"} 1.0""",
                """knapweedferry_requests_total{kind="model",outcome="not_run",rank="urgent"} 1.0""",
                """knapweedferry_first_token_seconds_bucket{rank="urgent",le="0.55"} 1""",
                """knapweedferry_inter_token_seconds_bucket{rank="standard",le="0.025"} 0""",
                """knapweedferry_dropped_frames_total{reason="late"} 1.0""",
                """knapweedferry_platform_errors_total{error="no_answer",system="log"} 1.0""",
                """knapweedferry_audit_bytes_total 7.0""",
                """knapweedferry_audit_dropped_records_total 2.0""",
            )
        assertEquals(emptyList<String>(), expected - metrics.scrape().lines().toSet())
    }

    @Test
    fun `gauges are read at each scrape`() {
        var slots = 3
        metrics.registerGauge("free.slots", "Free slots", GaugeLabel.ByEndpoint(EndpointId("engine-1"))) { slots }
        slots = 5
        assertTrue(metrics.scrape().contains("""knapweedferry_free_slots{endpoint="engine-1"} 5.0"""))
    }

    @Test
    fun `requests create no new time series`() {
        val before = lineCount()
        repeat(50) {
            metrics.recordFinished(RequestKind.SERVICE, Rank.entries[it % 3], Outcome.Unknown(UnknownReason.DEADLINE, "request $it"))
            metrics.countPlatformError(PlatformSystem.SERVICE, PlatformError.Rejected(400 + it, "detail $it"))
        }
        assertEquals(before, lineCount())
    }

    private fun lineCount(): Int = metrics.scrape().lines().size
}
