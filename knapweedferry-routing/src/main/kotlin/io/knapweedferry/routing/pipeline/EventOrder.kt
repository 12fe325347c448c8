package io.knapweedferry.routing.pipeline

/**
 * Checks that the numeric ids of a stream's events increase, over all attempts that produce the stream. An endpoint that repeats
 * events, or resumes a stream too early, breaks this.
 */
internal class EventOrder {
    private var lastId: Long? = null

    /** True if [ids] continue the stream; they count as delivered then. */
    fun continuesWith(ids: LongArray): Boolean {
        var previous = lastId
        for (id in ids) {
            if (previous != null && id <= previous) return false
            previous = id
        }
        lastId = previous
        return true
    }
}
