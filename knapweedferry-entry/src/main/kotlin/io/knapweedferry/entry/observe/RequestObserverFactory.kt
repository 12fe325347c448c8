package io.knapweedferry.entry.observe

import io.knapweedferry.api.RequestId
import io.knapweedferry.telemetry.AuditTrail
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.RouterMetrics
import kotlin.time.TimeSource

/** Creates the observer of each request. */
internal class RequestObserverFactory(
    private val audit: AuditTrail,
    private val metrics: RouterMetrics,
    private val events: EventLog,
    private val timeSource: TimeSource,
) {
    fun start(requestId: RequestId): RequestObserver = RequestObserver(audit.start(requestId), metrics, events, audit::submit, timeSource)
}
