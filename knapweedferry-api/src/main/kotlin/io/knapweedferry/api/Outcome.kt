package io.knapweedferry.api

/**
 * Result of a request as reported to the caller. [NotRun] requires a [Refusal], and refusals are only created if nothing was
 * submitted to an endpoint; every other result without a complete response is [Failed] or [Unknown].
 */
public sealed interface Outcome {
    /** The complete response is available. */
    public data class Completed(
        val answer: Answer,
    ) : Outcome

    /** Nothing was submitted to an endpoint. */
    public data class NotRun(
        val refusal: Refusal,
    ) : Outcome

    /** The request may have run, completely or partly, but it can be repeated safely. */
    public data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : Outcome

    /** It is unknown whether the request took effect. */
    public data class Unknown(
        val reason: UnknownReason,
        val detail: String,
    ) : Outcome
}
