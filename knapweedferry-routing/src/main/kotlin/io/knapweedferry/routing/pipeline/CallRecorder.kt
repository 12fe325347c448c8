package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics

/** Writes one log line per request, with the data behind its routing decisions, and counts its outcome in the metrics. */
internal class CallRecorder(
    private val events: EventLog,
    private val metrics: RoutingMetrics,
) {
    fun recordDelivered(
        record: CallRecord,
        status: Int,
    ) {
        metrics.recordDelivered(record.rank, status, record.call.elapsedMs, record.firstByteMs)
        write(LogEvent.ROUTED_DELIVERED, record, "status" to status)
    }

    fun recordRefused(
        record: CallRecord,
        response: LocalResponse,
    ) {
        metrics.countRefused(response.reason)
        val event = if (response.promisesNotRun) LogEvent.ROUTED_NOT_RUN else LogEvent.ROUTED_FAILED
        write(event, record, "status" to response.status, "reason" to response.reason)
    }

    /** Records that the connection was closed before the response was complete. */
    fun recordAborted(
        record: CallRecord,
        reason: String,
    ) {
        metrics.countRefused("cut_$reason")
        write(LogEvent.ROUTED_INTERRUPTED, record, "reason" to reason)
    }

    fun recordCallerDisconnect(record: CallRecord) {
        metrics.countDisconnectedCaller()
        write(LogEvent.CALLER_GONE, record)
    }

    fun recordRetry(
        record: CallRecord,
        reason: String,
    ) {
        metrics.countRetried(reason)
        record.recordStep("retry:$reason")
    }

    /** Records that an engine granted a reservation but refused the run that used it. */
    fun recordRunRefused(
        record: CallRecord,
        engine: RoutedEndpoint,
        terms: AttemptTerms,
    ) = events.write(
        LogEvent.RUN_REFUSED,
        "request" to record.call.traits.requestId,
        "endpoint" to engine.id.value,
        "listed_stage" to engine.stage,
        "fleet_version" to record.view.fleetVersion,
        "fleet_age_ms" to record.view.fleetAgeMs,
        "kv_source" to
            terms.kvSource
                ?.address
                ?.hostString,
    )

    /** Records that the connection of a run was closed by its engine or the network after [deliveredEvents] events. */
    fun recordBrokenRun(
        record: CallRecord,
        engine: RoutedEndpoint,
        deliveredEvents: Int,
    ) {
        metrics.countBrokenRun(hasBegun = deliveredEvents > 0)
        events.write(
            LogEvent.RUN_BROKEN,
            "request" to record.call.traits.requestId,
            "endpoint" to engine.id.value,
            "endpoint_started_at_ms" to engine.startedAtMs,
            "events" to deliveredEvents,
            "prompt_parts" to
                record.call.traits.sharedPromptParts
                    .joinToString(" ") { it.value },
        )
    }

    private fun write(
        event: LogEvent,
        record: CallRecord,
        vararg fields: Pair<String, Any?>,
    ) {
        events.write(
            event,
            "request" to record.call.traits.requestId,
            "route" to record.route?.name,
            "organisation" to
                record.organisation
                    ?.id
                    ?.value,
            "priority" to record.priority,
            "config_version" to record.view.table?.version,
            "fleet_version" to record.view.fleetVersion,
            "fleet_age_ms" to record.view.fleetAgeMs,
            "prompt_tokens" to
                record.call.traits.promptTokens
                    .takeIf { it > 0 },
            "output_tokens" to
                record.call.traits.maxOutputTokens
                    .takeIf { it > 0 },
            "output_hint" to record.call.traits.expectedOutputTokens,
            "deadline_ms" to record.call.traits.deadlineMs,
            "gate_ms" to record.admissionWait?.elapsedMs,
            "gate_ahead" to record.admissionWait?.ahead,
            "gate_asked" to record.admissionWait?.reservationRequests,
            "gate_unanswered" to record.admissionWait?.unansweredRequests,
            "gate_asking_ms" to record.admissionWait?.reservationMs,
            "steps" to record.trace,
            "first_byte_ms" to record.firstByteMs,
            "max_pause_ms" to record.maxPauseMs.takeIf { it > 0 },
            "elapsed_ms" to record.call.elapsedMs,
            *fields,
        )
    }
}
