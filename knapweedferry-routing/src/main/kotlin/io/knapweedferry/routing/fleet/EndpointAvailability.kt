package io.knapweedferry.routing.fleet

import io.knapweedferry.routing.call.EndpointNotice
import io.knapweedferry.routing.model.EndpointIncarnation
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.AvailabilityChange
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * What endpoints say of themselves in their responses: that they are leaving, or that they want no requests for a time. It
 * holds for one incarnation of an endpoint, whatever the instance list says. Confined to the event loop.
 */
internal class EndpointAvailability(
    private val events: EventLog,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val random: Random = Random.Default,
) {
    /** Also of endpoints that are missing in the list, because the same incarnation may register again; the oldest one first. */
    private val states = LinkedHashMap<EndpointIncarnation, State>()

    private class State {
        var isLeaving = false
        var pausedUntil: ComparableTimeMark? = null
        var hasLoggedInvalidPause = false
    }

    /** Records what [endpoint] said in the head of a response with [status]. */
    fun record(
        endpoint: RoutedEndpoint,
        status: Int,
        notice: EndpointNotice,
    ) {
        if (notice.isLeaving) recordLeaving(endpoint, status)
        notice.pauseMs?.let { recordPause(endpoint, it) }
        notice.invalidPause?.let { logInvalidPause(endpoint, it) }
    }

    /** False if [endpoint] is leaving or paused, so that no request may be sent to it. */
    fun accepts(endpoint: RoutedEndpoint): Boolean = !isLeaving(endpoint) && remainingPauseMs(endpoint) == 0L

    fun isLeaving(endpoint: RoutedEndpoint): Boolean = state(endpoint)?.isLeaving ?: false

    /** Time until the pause of [endpoint] ends; 0 if it is not paused. */
    fun remainingPauseMs(endpoint: RoutedEndpoint): Long {
        val state = state(endpoint) ?: return 0
        val until = state.pausedUntil ?: return 0
        val remainingMs = -until.elapsedNow().inWholeMilliseconds
        if (remainingMs > 0) return remainingMs
        state.pausedUntil = null
        metrics.countAvailabilityChange(AvailabilityChange.PAUSE_ENDED)
        events.write(LogEvent.ENDPOINT_PAUSE_ENDED, "endpoint" to endpoint.id.value)
        return 0
    }

    private fun recordLeaving(
        endpoint: RoutedEndpoint,
        status: Int,
    ) {
        val state = stateOrNew(endpoint)
        if (state.isLeaving) return
        state.isLeaving = true
        metrics.countAvailabilityChange(AvailabilityChange.LEAVING)
        events.write(LogEvent.ENDPOINT_ANNOUNCED_LEAVING, "endpoint" to endpoint.id.value, "status" to status)
    }

    /** A longer pause replaces a shorter one. */
    private fun recordPause(
        endpoint: RoutedEndpoint,
        pauseMs: Long,
    ) {
        val state = stateOrNew(endpoint)
        val spreadMs = random.nextDouble(MIN_SPREAD_MS + pauseMs * SPREAD_SHARE).toLong()
        val until = timeSource.markNow() + (pauseMs + spreadMs).milliseconds
        val former = state.pausedUntil
        if (former != null && former >= until) return
        state.pausedUntil = until
        if (former != null) return metrics.countAvailabilityChange(AvailabilityChange.PAUSE_EXTENDED)
        metrics.countAvailabilityChange(AvailabilityChange.PAUSED)
        events.write(LogEvent.ENDPOINT_PAUSED, "endpoint" to endpoint.id.value, "pause_ms" to pauseMs)
    }

    private fun logInvalidPause(
        endpoint: RoutedEndpoint,
        text: String,
    ) {
        metrics.countAvailabilityChange(AvailabilityChange.PAUSE_INVALID)
        val state = stateOrNew(endpoint)
        if (state.hasLoggedInvalidPause) return
        state.hasLoggedInvalidPause = true
        events.write(LogEvent.ENDPOINT_PAUSE_INVALID, "endpoint" to endpoint.id.value, "value" to text)
    }

    private fun state(endpoint: RoutedEndpoint) = states[endpoint.incarnation]

    private fun stateOrNew(endpoint: RoutedEndpoint): State {
        state(endpoint)?.let { return it }
        if (states.size >= MAX_STATES) states.remove(states.keys.first())
        return State().also { states[endpoint.incarnation] = it }
    }

    private companion object {
        /** Instances return to the endpoint one after another within this share of the pause. */
        const val SPREAD_SHARE = 0.1
        const val MIN_SPREAD_MS = 50.0

        /** More than the endpoints of a fleet that leave or pause within minutes. */
        const val MAX_STATES = 1_024
    }
}
