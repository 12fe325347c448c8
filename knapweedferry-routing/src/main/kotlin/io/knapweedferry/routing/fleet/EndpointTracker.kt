package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.EndpointHealth
import io.knapweedferry.policy.routing.EndpointLoad
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * What this process has in progress at one endpoint, and how the endpoint did. Writes a line whenever it begins or ends to
 * avoid the endpoint. Confined to the event loop.
 */
internal class EndpointTracker(
    private val id: EndpointId,
    private val events: EventLog,
    private val timeSource: TimeSource,
) {
    val health = EndpointHealth(timeSource)
    private val inFlight = LinkedHashSet<InFlightAttempt>()

    /** Work of one attempt; ends when the attempt ends. */
    inner class InFlightAttempt(
        private val kvTokens: Int,
        private var unreadTokens: Int,
        private val expectedFirstByteMs: Double,
    ) {
        private val started: TimeMark = timeSource.markNow()
        private var hasResponded = false

        val elapsedMs: Long get() = started.elapsedNow().inWholeMilliseconds

        val load: EndpointLoad get() = EndpointLoad(1.0, kvTokens.toDouble(), unreadTokens.toDouble())

        val overdueMs: Long get() = if (hasResponded) 0 else (elapsedMs - (expectedFirstByteMs * OVERDUE_FACTOR).toLong()).coerceAtLeast(0)

        /** The endpoint has read the prompt and produces the answer. */
        fun onResponseStarted() {
            if (hasResponded) return
            hasResponded = true
            unreadTokens = 0
            noteRecovered()
            health.answered(elapsedMs, expectedFirstByteMs)
        }

        fun end() {
            inFlight.remove(this)
        }
    }

    val load: EndpointLoad get() = inFlight.fold(EndpointLoad.NONE) { sum, attempt -> sum + attempt.load }

    val overdueMs: Long get() = inFlight.maxOfOrNull { it.overdueMs } ?: 0

    val isIdle: Boolean get() = inFlight.isEmpty()

    /** The endpoint accepted no connection, cut one off or did not answer during [what]. */
    fun noteUnreachable(what: String) = noteAvoided(what) { health.unreachable() }

    /** Another endpoint answered at its address. */
    fun noteReplaced(what: String) = noteAvoided("$what, another endpoint answered") { health.replaced() }

    /** The endpoint granted a reservation and refused the run; [isCertain] if nothing but the endpoint can be the reason. */
    fun noteRunRefused(isCertain: Boolean) = noteAvoided("run, refused") { health.refusedRun(isCertain) }

    /** The endpoint was ordered to another stage and runs nothing until it has changed. */
    fun noteOrdered() = noteAvoided("change of stage") { health.changingStage() }

    private inline fun noteAvoided(
        what: String,
        note: () -> Unit,
    ) {
        val wasAvoided = health.isAvoided()
        note()
        if (wasAvoided || !health.isAvoided()) return
        events.write(LogEvent.ENDPOINT_UNREACHABLE, "endpoint" to id.value, "during" to what, "open" to inFlight.size)
    }

    private fun noteRecovered() {
        if (health.isAvoided()) events.write(LogEvent.ENDPOINT_RECOVERED, "endpoint" to id.value, "open" to inFlight.size)
    }

    fun begin(
        kvTokens: Int,
        unreadTokens: Int,
        expectedFirstByteMs: Double,
    ): InFlightAttempt = InFlightAttempt(kvTokens, unreadTokens, expectedFirstByteMs).also { inFlight += it }

    private companion object {
        /** Answers within this multiple of the usual time are no sign of trouble. */
        const val OVERDUE_FACTOR = 3.0
    }
}
