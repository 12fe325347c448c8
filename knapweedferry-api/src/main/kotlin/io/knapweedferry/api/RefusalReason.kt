package io.knapweedferry.api

/**
 * Why a request was refused. A request is only refused before anything is submitted to an endpoint, so every reason can be
 * reported to the caller as "not run".
 */
public enum class RefusalReason(
    /** Stable code used in problem details, metrics and audit records. */
    public val code: String,
    /** HTTP status of the response to the caller. */
    public val httpStatus: Int,
    /** How the caller can resolve the problem. */
    public val remedy: String,
) {
    MALFORMED_REQUEST("malformed_request", 400, "correct the request body as described in the detail"),
    UNAUTHENTICATED("unauthenticated", 401, "send a valid API key in the Authorization header"),
    RANK_NOT_ALLOWED("rank_not_allowed", 403, "use a rank that the organisation may use or ask an operator to raise its limit"),
    MODEL_NOT_ALLOWED("model_not_allowed", 403, "use a model that the organisation may use or ask an operator to allow it"),
    UNKNOWN_MODEL("unknown_model", 404, "use one of the models listed by GET /v1/models"),
    UNKNOWN_SERVICE("unknown_service", 404, "use a service and operation that the configuration names"),
    UNKNOWN_WORK("unknown_work", 400, "use a work kind that the configuration names"),
    UNKNOWN_RANK("unknown_rank", 400, "use one of the ranks urgent, standard or background"),
    PROMPT_TOO_LONG("prompt_too_long", 413, "shorten the prompt or lower max_tokens; no endpoint holds it"),
    BODY_TOO_LARGE("body_too_large", 413, "send a smaller request body"),
    KEY_REQUIRED("key_required", 400, "send an Idempotency-Key header with a version 7 UUID; this operation may not be repeated"),
    KEY_INVALID("key_invalid", 400, "use a version 7 UUID that was made recently as the Idempotency-Key"),
    ENTRY_FULL("entry_full", 503, "retry after the time given in Retry-After"),
    NOT_READY("not_ready", 503, "retry through another entry; this one has no configuration yet"),
    SHUTTING_DOWN("shutting_down", 503, "retry through another entry; this one is stopping"),
    NO_ENDPOINT("no_endpoint", 503, "retry later; no live endpoint serves this model or service"),
    QUEUE_FULL("queue_full", 503, "retry after the time given in Retry-After"),
    DEADLINE("deadline", 503, "retry later or give the request a longer deadline"),
    OVERLOADED("overloaded", 503, "retry after the time given in Retry-After"),
    ENDPOINT_LEAVING("endpoint_leaving", 503, "retry; another endpoint will be chosen"),
    ENDPOINT_UNAVAILABLE("endpoint_unavailable", 503, "retry; another endpoint will be chosen"),
    WRONG_MODEL("wrong_model", 503, "retry; the endpoint no longer serves this model"),
    LEASE_EXPIRED("lease_expired", 503, "retry; the reservation lapsed before it was used"),
    PREEMPTED("preempted", 503, "retry later; more urgent work took the place"),
    STALE_INCARNATION("stale_incarnation", 503, "retry; the sidecar was restarted"),
    LOG_UNAVAILABLE("log_unavailable", 503, "retry with the same Idempotency-Key once the platform's log answers again"),
    RETRY_BUDGET("retry_budget", 503, "retry after the time given in Retry-After; too many requests are being retried"),
    DUPLICATE_IN_PROGRESS("duplicate_in_progress", 409, "wait for the request that is in progress under this id"),
}
