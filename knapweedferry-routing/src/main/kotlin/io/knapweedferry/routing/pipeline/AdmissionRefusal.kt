package io.knapweedferry.routing.pipeline

/** Refusal of a request that waits for an engine. */
internal class AdmissionRefusal(
    /** Decision and its inputs, for the trace of the request. */
    val step: String,
    /** Time after which a retry has the best chance; null if the usual delay applies. */
    val retryAfterMs: Long? = null,
)
