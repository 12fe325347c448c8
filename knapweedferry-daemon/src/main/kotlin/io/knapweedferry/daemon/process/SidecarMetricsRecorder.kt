package io.knapweedferry.daemon.process

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.sidecar.server.SidecarCounters
import io.knapweedferry.telemetry.RouterMetrics

/** Records the events of a sidecar in [metrics]. Events that have no metric are ignored. */
internal class SidecarMetricsRecorder(
    private val metrics: RouterMetrics,
) : SidecarCounters {
    override fun refused(reason: RefusalReason) {
        metrics.countRefusal(reason)
    }

    override fun attemptFailed(reason: FailureReason) {
        metrics.countFailure(reason)
    }

    override fun leaseExpired(): Unit = Unit

    override fun engineCancelFailed(): Unit = Unit

    override fun orphanCancelled(): Unit = Unit
}
