package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.PromptPartId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.quarantine.EngineIncarnation
import io.knapweedferry.policy.quarantine.PromptQuarantine
import io.knapweedferry.policy.quarantine.QuarantineReason
import io.knapweedferry.routing.fleet.CrashReport
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent

/**
 * Keeps prompts that crash engines away from them, by what this instance and the others saw of crashes. Confined to the event
 * loop.
 */
internal class PromptGuard(
    private val recorder: CallRecorder,
    private val events: EventLog,
) {
    private val quarantines = HashMap<ServiceName, PromptQuarantine>()

    /** Quarantined parts that were logged, with the number of crashes at that time. */
    private val logged = HashMap<Set<PromptPartId>, Int>()

    /** Passes reports on to the other instances. */
    var publish: (CrashReport) -> Unit = {}

    /** Returns why the prompt of [job] must not be sent to an engine; null if it may be sent. */
    fun findQuarantine(job: ForwardingJob): QuarantineReason? =
        of(job.service.name).find(job.call.traits.sharedPromptParts)?.also { logOnce(job.service.name, it) }

    /** Records that an engine answers the request of [job]. */
    fun recordAnswering(job: ForwardingJob) = of(job.service.name).recordAnswering(job.call.traits.sharedPromptParts)

    /** Records that the connection of a run at [engine] was closed after [deliveredEvents] events. */
    fun recordBroken(
        job: ForwardingJob,
        engine: RoutedEndpoint,
        deliveredEvents: Int,
    ) {
        recorder.recordBrokenRun(job.record, engine, deliveredEvents)
        val parts = job.call.traits.sharedPromptParts
        if (deliveredEvents >= EVENTS_OF_A_BEGUN_RUN || parts.isEmpty()) return
        val report = CrashReport(job.service.name, EngineIncarnation(engine.id, engine.startedAtMs), parts.toSet(), ageMs = 0)
        record(report)
        publish(report)
    }

    /** Records a crash that this instance or another one saw. */
    fun record(report: CrashReport) = of(report.service).recordCrash(report.engine, report.promptParts, report.ageMs)

    private fun of(service: ServiceName) = quarantines.getOrPut(service) { PromptQuarantine() }

    private fun logOnce(
        service: ServiceName,
        reason: QuarantineReason,
    ) {
        if (logged.size > MAX_LOGGED) logged.clear()
        if (logged.put(reason.parts, reason.crashCount) == reason.crashCount) return
        events.write(
            LogEvent.PROMPT_QUARANTINED,
            "service" to service.value,
            "prompt_parts" to reason.parts.joinToString(" ") { it.value },
            "crashes" to reason.crashCount,
            "remaining_ms" to reason.remainingMs,
        )
    }

    companion object {
        /** An engine that crashes as it begins to answer may still send its first event. */
        const val EVENTS_OF_A_BEGUN_RUN = 2
        private const val MAX_LOGGED = 64
    }
}
