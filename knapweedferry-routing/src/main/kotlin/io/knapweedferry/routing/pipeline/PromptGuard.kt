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

    /** Records that an engine has answered the request of [job] completely. */
    fun recordCompleted(job: ForwardingJob) = of(job.service.name).recordCompleted(job.call.traits.sharedPromptParts)

    /** Records that [engine] has begun to answer a request that was sent to it [sentAgoMs] ago. */
    fun recordAlive(
        job: ForwardingJob,
        engine: RoutedEndpoint,
        sentAgoMs: Long,
    ) = of(job.service.name).recordAlive(incarnation(engine), sentAgoMs)

    /** Records that the connection of a run at [engine] was closed after [deliveredEvents] events, [runMs] after it was sent. */
    fun recordBroken(
        job: ForwardingJob,
        engine: RoutedEndpoint,
        deliveredEvents: Int,
        runMs: Long,
    ) {
        recorder.recordBrokenRun(job.record, engine, deliveredEvents)
        val suspects = of(job.service.name).recordCrash(incarnation(engine), job.call.traits.sharedPromptParts, ageMs = 0, runMs)
        if (suspects.isNotEmpty()) publish(CrashReport(job.service.name, incarnation(engine), suspects, ageMs = 0, runMs))
    }

    /** Records a crash that another instance saw. */
    fun record(report: CrashReport) {
        of(report.service).recordCrash(report.engine, report.promptParts, report.ageMs, report.runMs)
    }

    private fun incarnation(engine: RoutedEndpoint) = EngineIncarnation(engine.id, engine.startedAtMs)

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

    private companion object {
        const val MAX_LOGGED = 64
    }
}
