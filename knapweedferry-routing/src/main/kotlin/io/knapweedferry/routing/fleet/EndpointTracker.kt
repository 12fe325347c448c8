package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.EndpointHealth
import io.knapweedferry.policy.routing.EndpointLoad
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Tracks the attempts of this process that are in flight at one endpoint, and the health of the endpoint. Logs when the
 * endpoint becomes avoided and when it recovers. Confined to the event loop.
 */
internal class EndpointTracker(
    private val id: EndpointId,
    private val events: EventLog,
    private val timeSource: TimeSource,
) {
    val health = EndpointHealth(timeSource)
    private val inFlight = LinkedHashSet<InFlightAttempt>()

    /** Load of one attempt, counted from [begin] until [end]. */
    inner class InFlightAttempt(
        private val kvTokens: Int,
        private var pendingPrefillTokens: Int,
        private val expectedFirstByteMs: Double,
    ) {
        private val started: TimeMark = timeSource.markNow()
        private var hasResponded = false

        val elapsedMs: Long get() = started.elapsedNow().inWholeMilliseconds

        val load: EndpointLoad get() = EndpointLoad(1.0, kvTokens.toDouble(), pendingPrefillTokens.toDouble())

        val overdueMs: Long get() = if (hasResponded) 0 else (elapsedMs - (expectedFirstByteMs * OVERDUE_FACTOR).toLong()).coerceAtLeast(0)

        /** Called when the response starts, which shows that the endpoint has processed the prompt. */
        fun onResponseStarted() {
            if (hasResponded) return
            hasResponded = true
            pendingPrefillTokens = 0
            logRecovery()
            health.recordResponse(elapsedMs, expectedFirstByteMs)
        }

        fun end() {
            inFlight.remove(this)
        }
    }

    val load: EndpointLoad get() = inFlight.fold(EndpointLoad.NONE) { sum, attempt -> sum + attempt.load }

    val overdueMs: Long get() = inFlight.maxOfOrNull { it.overdueMs } ?: 0

    val isIdle: Boolean get() = inFlight.isEmpty()

    /** Records that the endpoint refused or dropped a connection, or did not respond, during [operation]. */
    fun recordUnreachable(operation: String) = recordAndLogAvoidance(operation) { health.recordUnreachable() }

    /** Records that another endpoint responded at this address during [operation]. */
    fun recordReplaced(operation: String) = recordAndLogAvoidance("$operation, another endpoint answered") { health.recordReplaced() }

    /** Records that the endpoint granted a reservation but refused the run. [isCertain] if only the endpoint itself can be the cause. */
    fun recordRunRefused(isCertain: Boolean) = recordAndLogAvoidance("run, refused") { health.recordRunRefused(isCertain) }

    /** Records that the endpoint was ordered to change its stage; it runs no requests until it has done so. */
    fun recordStageOrder() = recordAndLogAvoidance("change of stage") { health.recordStageChange() }

    private inline fun recordAndLogAvoidance(
        operation: String,
        record: () -> Unit,
    ) {
        val wasAvoided = health.isAvoided()
        record()
        if (wasAvoided || !health.isAvoided()) return
        events.write(LogEvent.ENDPOINT_UNREACHABLE, "endpoint" to id.value, "during" to operation, "open" to inFlight.size)
    }

    private fun logRecovery() {
        if (health.isAvoided()) events.write(LogEvent.ENDPOINT_RECOVERED, "endpoint" to id.value, "open" to inFlight.size)
    }

    fun begin(
        kvTokens: Int,
        pendingPrefillTokens: Int,
        expectedFirstByteMs: Double,
    ): InFlightAttempt = InFlightAttempt(kvTokens, pendingPrefillTokens, expectedFirstByteMs).also { inFlight += it }

    private companion object {
        /** A response is overdue after this multiple of the expected time. */
        const val OVERDUE_FACTOR = 3.0
    }
}
