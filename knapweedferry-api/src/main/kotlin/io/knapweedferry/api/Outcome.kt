package io.knapweedferry.api

/**
 * What a caller is told about a request. [NotRun] can only be built from a [RefusalReason], and refusals are only produced
 * where nothing was submitted; everything else that is not an answer is [Unknown] or [Failed].
 */
public sealed interface Outcome {
    /** The answer was delivered whole. */
    public data class Completed(
        val answer: Answer,
    ) : Outcome

    /** Nothing was submitted to an endpoint. */
    public data class NotRun(
        val refusal: Refusal,
    ) : Outcome

    /** The request ran, or may have run in part, and has no effect that must not be repeated. */
    public data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : Outcome

    /** It is not known whether the request took effect. */
    public data class Unknown(
        val reason: UnknownReason,
        val detail: String,
    ) : Outcome
}
