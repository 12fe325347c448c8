package io.knapweedferry.routing.pipeline

/** Error responses that the entry generates itself. Statuses 408, 421, 429 and 503 are used only for requests that did not run. */
public enum class LocalResponse(
    public val status: Int,
    /** Reason code in the metric label, the log field and the response body. */
    public val reason: String,
    /** Advice to the caller, sent in the response body. */
    public val remedy: String,
) {
    MALFORMED(400, "malformed", "send a request that follows HTTP/1.1"),
    KEY_MISSING(401, "key_missing", "send the API key of an organisation"),
    KEY_UNKNOWN(401, "key_unknown", "send exactly one API key that the configuration contains"),
    NO_ROUTE(404, "no_route", "use a host and path that the configuration names"),
    HEADER_TIMEOUT(408, "header_timeout", "send the whole request sooner"),
    BODY_TOO_LARGE(413, "body_too_large", "send a smaller body"),
    TOO_MANY_TOKENS(413, "too_many_tokens", "shorten the prompt or the output; no engine of the service can hold them"),
    QUOTA_EXHAUSTED(429, "quota_exhausted", "repeat the request after the given time; it has not run"),
    HEADER_TOO_LARGE(431, "header_too_large", "send fewer or shorter headers"),
    ANSWER_LOST(502, "answer_lost", "find out whether the request took effect before repeating it"),
    NOT_READY(503, "not_ready", "repeat the request; this entry has no configuration yet"),
    KEYS_UNCONFIRMED(503, "keys_unconfirmed", "repeat the request at another entry; this one cannot confirm API keys; it has not run"),
    NO_ENDPOINT(503, "no_endpoint", "repeat the request later; the service has no endpoint that takes work"),
    ENDPOINTS_FULL(503, "endpoints_full", "repeat the request later; it has not run"),
    PROMPT_QUARANTINED(
        503,
        "prompt_quarantined",
        "change the prompt; engines crashed on prompts with the same parts; this request has not run",
    ),
    ENDPOINTS_PAUSED(503, "endpoints_paused", "repeat the request after the given time; all endpoints of the service asked for a pause"),
    ENTRY_FULL(503, "entry_full", "repeat the request at another entry; it has not run"),
    ENTRY_STOPPING(503, "entry_stopping", "repeat the request at another entry; it has not run"),
    EXPIRED_UNSENT(503, "expired_unsent", "repeat the request with a longer deadline; it has not run"),
    INTERNAL_ERROR(503, "internal_error", "repeat the request at another entry; it has not run"),
    TIMED_OUT(504, "timed_out", "find out whether the request took effect before repeating it"),
    ;

    /** True if the status tells the caller that the request did not run. */
    public val promisesNotRun: Boolean get() = status in NOT_RUN_STATUSES

    private companion object {
        val NOT_RUN_STATUSES = setOf(408, 429, 503)
    }
}
