package io.knapweedferry.routing.fleet

/** Times of a run that one engine completed. */
internal data class CompletedRun(
    /** From the admission to the end of the run. */
    val heldMs: Long,
    /** Events with data. */
    val events: Int,
    /** From the first of them to the last. */
    val eventSpanMs: Long,
)
