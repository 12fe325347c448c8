package io.knapweedferry.routing.pipeline

/** What happened while one request waited for room at an engine, for the log. */
internal class GateWait(
    /** Requests of this entry that were to get room before this one when it arrived. */
    val ahead: Int,
) {
    var elapsedMs = 0L

    /** Reservations that were asked for. */
    var asked = 0

    /** Those without an answer. */
    var unanswered = 0

    /** Time spent waiting for answers, given or not. */
    var askingMs = 0L
}
