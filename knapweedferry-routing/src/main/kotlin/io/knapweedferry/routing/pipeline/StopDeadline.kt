package io.knapweedferry.routing.pipeline

import kotlin.time.ComparableTimeMark

/** What a stopping process still serves, and until when. Confined to the event loop. */
internal class StopDeadline {
    private var endsAt: ComparableTimeMark? = null

    /** False once callers are expected at other instances; requests that might outlast this process are refused then. */
    var acceptsLongRequests = true
        private set

    /** Time until the requests in progress get their final responses; unlimited while the process is not stopping. */
    val remainingMs: Long get() = endsAt?.let { -it.elapsedNow().inWholeMilliseconds } ?: Long.MAX_VALUE

    /** Called when the process begins to stop. */
    fun begin(end: ComparableTimeMark) {
        endsAt = end
    }

    fun stopAcceptingLongRequests() {
        acceptsLongRequests = false
    }
}
