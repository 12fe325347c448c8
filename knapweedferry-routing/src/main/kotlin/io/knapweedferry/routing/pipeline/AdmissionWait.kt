package io.knapweedferry.routing.pipeline

/** Statistics for the log about the wait of one request for engine capacity. */
internal class AdmissionWait(
    /** Requests of this entry that were ahead of this one in the queue when it arrived. */
    val ahead: Int,
) {
    var elapsedMs = 0L

    /** Reservations requested from engines for this request. */
    var reservationRequests = 0

    /** Reservation requests that got no response. */
    var unansweredRequests = 0

    /** Time after which a retry of this request has the best chance, if the request was refused and the time is known. */
    var retryAfterMs: Long? = null

    /** Total time of all reservation requests, including those that got no response. */
    var reservationMs = 0L
}
