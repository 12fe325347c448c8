package io.knapweedferry.routing.pipeline

/** What happened while one request waited for room at an engine, for the log. */
internal class AdmissionWait(
    /** Requests of this entry that were to get room before this one when it arrived. */
    val ahead: Int,
) {
    var elapsedMs = 0L

    /** Reservations requested from engines for this request. */
    var reservationRequests = 0

    /** Those without an answer. */
    var unansweredRequests = 0

    /** Time spent waiting for answers, given or not. */
    var reservationMs = 0L
}
