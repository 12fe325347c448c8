package io.knapweedferry.telemetry

/**
 * Catalogue of all log events; `docs/events.md` shows the same table. Numbers are grouped by hundred and never reused, so
 * that alert rules keep their meaning.
 */
public enum class LogEvent(
    /** Stable number. */
    public val number: Int,
    /** Severity. */
    public val level: EventLevel,
    /** Fixed text; what varies is in the fields, so that lines of one event can be found by text as well. */
    public val message: String,
    /** What an operator should do. */
    public val action: String,
) {
    // 1xx: process
    PROCESS_STARTING(100, EventLevel.INFO, "process is starting", NO_ACTION),
    PROCESS_STARTED(101, EventLevel.INFO, "process is listening", NO_ACTION),
    PROCESS_READY(102, EventLevel.INFO, "process is ready", NO_ACTION),
    PROCESS_NOT_READY(
        103,
        EventLevel.WARN,
        "process is not ready",
        "see the reason; a process without configuration needs the log or a peer",
    ),
    SHUTDOWN_STARTED(104, EventLevel.INFO, "graceful shutdown started", NO_ACTION),
    SHUTDOWN_DRAINED(105, EventLevel.INFO, "all work in progress has ended", NO_ACTION),
    SHUTDOWN_TIMED_OUT(
        106,
        EventLevel.WARN,
        "work was still in progress when the drain timeout ended",
        "raise drain_timeout_ms if the work was expected to take this long",
    ),
    PROCESS_STOPPED(107, EventLevel.INFO, "process stopped", NO_ACTION),
    SETTINGS_INVALID(108, EventLevel.ERROR, "settings file is not valid", "correct the named setting and start again"),
    PORT_IN_USE(109, EventLevel.ERROR, "listening port is in use", "stop the other process on this address or change the address"),
    PROCESS_WAS_FROZEN(
        110,
        EventLevel.WARN,
        "process was paused longer than a lease lasts",
        "look for memory pressure or a suspended instance",
    ),
    UNCAUGHT_ERROR(111, EventLevel.ERROR, "unexpected error in a background task", "report the error with its detail"),
    SHUTDOWN_FORCED(112, EventLevel.WARN, "second signal received, stopping at once", "nothing; work in progress was cut off"),
    HTTP_LISTENING(113, EventLevel.INFO, "HTTP server is listening", NO_ACTION),
    SETTINGS_LOADED(114, EventLevel.INFO, "settings loaded", NO_ACTION),

    // 2xx: configuration
    CONFIG_FIRST(200, EventLevel.INFO, "first configuration received", NO_ACTION),
    CONFIG_APPLIED(201, EventLevel.INFO, "configuration revision is in force", NO_ACTION),
    CONFIG_FROM_PEER(202, EventLevel.INFO, "configuration taken from a peer", "check the log if this happens often"),
    CONFIG_PEER_BEHIND(203, EventLevel.DEBUG, "peer has no newer configuration", NO_ACTION),
    CONFIG_GAP(204, EventLevel.WARN, "retention removed records that were not read", "nothing; the process folds again from a snapshot"),
    CONFIG_NO_SNAPSHOT(
        205,
        EventLevel.ERROR,
        "no snapshot is retained and older records are gone",
        "append a snapshot from a process that still has the configuration",
    ),
    CONFIG_RECORD_UNREADABLE(206, EventLevel.ERROR, "configuration record cannot be read", "find out who appended it; it is skipped"),
    CONFIG_RECORD_IGNORED(207, EventLevel.INFO, "configuration record does not apply", "nothing; the record names the reason"),
    SNAPSHOT_APPENDED(208, EventLevel.INFO, "snapshot appended", NO_ACTION),
    SNAPSHOT_FAILED(209, EventLevel.WARN, "snapshot could not be appended", "check the log; the next attempt follows"),
    PLAN_PROPOSED(210, EventLevel.INFO, "plan proposed", "confirm the plan or let it lapse"),
    PLAN_CONFIRMED(211, EventLevel.INFO, "plan confirmed", NO_ACTION),
    PLAN_OVERTAKEN(
        212,
        EventLevel.WARN,
        "plan not accepted because another change came first",
        "ask for a new plan on the current configuration",
    ),
    PLAN_REJECTED(213, EventLevel.WARN, "intent refused", "correct the intent as the detail says"),
    STEP_STARTED(214, EventLevel.INFO, "step started", NO_ACTION),
    STEP_APPLIED(215, EventLevel.INFO, "step applied", NO_ACTION),
    STEP_FAILED(
        216,
        EventLevel.ERROR,
        "step failed and the plan stopped",
        "read the detail, repair the endpoint and propose a plan for the rest",
    ),
    STEP_REPORT_DELAYED(217, EventLevel.WARN, "result of a step could not be appended yet", "check the log; the report is repeated"),
    PLAN_FINISHED(218, EventLevel.INFO, "all steps of the plan are applied", NO_ACTION),
    CONFIG_STALE(
        219,
        EventLevel.WARN,
        "configuration has not been confirmed by log or peer for a long time",
        "check the log and the links to peers",
    ),
    CONFIG_OLDER_IGNORED(220, EventLevel.DEBUG, "older configuration revision ignored", NO_ACTION),
    APPEND_RESOLVED(221, EventLevel.INFO, "append whose response was lost was found in the log", NO_ACTION),
    APPEND_NOT_FOUND(222, EventLevel.WARN, "append whose response was lost is not in the log", "nothing; it is repeated if that is safe"),

    // 3xx: sessions
    SESSION_OPENED(300, EventLevel.INFO, "session opened", NO_ACTION),
    SESSION_CLOSED(301, EventLevel.INFO, "session closed", NO_ACTION),
    SESSION_SILENT(
        302,
        EventLevel.WARN,
        "session closed because nothing was received within the heartbeat timeout",
        "look at the path between the two addresses if this repeats",
    ),
    SESSION_REFUSED(303, EventLevel.WARN, "peer could not prove the shared key", "compare the key files of both processes"),
    SESSION_CONNECT_FAILED(
        304,
        EventLevel.WARN,
        "session could not be opened",
        "check that the peer runs and that the address is reachable",
    ),
    SESSION_FRAME_REJECTED(305, EventLevel.WARN, "frame rejected", "compare the versions and max_frame_bytes of both processes"),
    SESSION_REPLACED(306, EventLevel.INFO, "new session replaced a silent one", NO_ACTION),
    SESSION_LIMIT(307, EventLevel.WARN, "session limit reached", "look for a peer that opens sessions without closing them"),
    SESSION_HANDSHAKE_TIMEOUT(308, EventLevel.WARN, "handshake did not finish in time", "look at the path between the two addresses"),
    FRAME_DROPPED(309, EventLevel.DEBUG, "frame dropped", "nothing; the counter of dropped frames tells how many"),
    SESSION_REPLAY(310, EventLevel.WARN, "handshake nonce was used before", "find out who opens sessions from this address"),
    SESSION_QUEUE_FULL(311, EventLevel.WARN, "peer reads too slowly and its queue is full", "look at the load of the peer"),

    // 4xx: requests
    REQUEST_ACCEPTED(400, EventLevel.DEBUG, "request accepted", NO_ACTION),
    REQUEST_COMPLETED(401, EventLevel.DEBUG, "request completed", NO_ACTION),
    REQUEST_NOT_RUN(402, EventLevel.INFO, "request was not run", "see the reason and its remedy in docs/api.md"),
    REQUEST_FAILED(403, EventLevel.WARN, "request failed", "see the reason and its remedy in docs/api.md"),
    REQUEST_UNKNOWN(404, EventLevel.WARN, "effect of the request is not known", "check the effect at the service"),
    REQUEST_RETRIED(405, EventLevel.INFO, "request is tried again", NO_ACTION),
    RETRY_BUDGET_SPENT(406, EventLevel.WARN, "retry budget is spent", "look for the failing endpoint that causes the retries"),
    CALLER_GONE(407, EventLevel.INFO, "caller disconnected", NO_ACTION),
    CALLER_STALLED(408, EventLevel.INFO, "caller stopped reading and the request was ended", NO_ACTION),
    REQUEST_REATTACHED(409, EventLevel.INFO, "caller returned and the stream goes on", NO_ACTION),
    ANSWER_INCOMPLETE(410, EventLevel.WARN, "answer did not match its token count or digest", "look at the engine that produced it"),
    ENTRY_FULL(411, EventLevel.WARN, "entry refuses requests because too many are in progress", "add entries or raise max_in_flight"),
    TRANSFER_STALLED(412, EventLevel.WARN, "transfer of the KV cache stalled", "look at the link between the two engines"),
    PREFILL_WASTED(413, EventLevel.INFO, "result of a prefill was not used", "nothing; look at the counter of wasted prefill tokens"),
    REQUEST_PREEMPTED(414, EventLevel.INFO, "stream paused for more urgent work", "nothing; it resumes when there is room"),
    REQUEST_RESUMED(415, EventLevel.INFO, "paused stream resumed", NO_ACTION),
    NO_ENDPOINT(416, EventLevel.WARN, "no live endpoint serves the model or service", "check the instance list and the configuration"),
    SUBSET_CHANGED(417, EventLevel.INFO, "set of endpoints of this entry changed", NO_ACTION),
    CANCEL_SENT(418, EventLevel.DEBUG, "cancel sent", NO_ACTION),
    DEADLINE_MISSED(419, EventLevel.INFO, "request missed its deadline", "look at the queues of the endpoints"),
    LOAD_SHED(420, EventLevel.WARN, "low ranks are refused during overload", "add capacity or reduce the flood"),

    // 5xx: claims
    CLAIM_APPENDED(500, EventLevel.DEBUG, "claim appended", NO_ACTION),
    CLAIM_WON(501, EventLevel.DEBUG, "claim is the first for its key", NO_ACTION),
    CLAIM_LOST(502, EventLevel.INFO, "another claim for the key came first", "nothing; the earlier claim is asked for its outcome"),
    CLAIM_VOIDED(503, EventLevel.INFO, "claim voided because it was never sent", NO_ACTION),
    CLAIM_REFUSED_INCARNATION(
        504,
        EventLevel.WARN,
        "claim names another incarnation",
        "nothing; the caller is told that the effect is not known",
    ),
    CLAIM_OUTCOME_KEPT(505, EventLevel.INFO, "kept outcome of an earlier claim returned", NO_ACTION),
    CLAIM_OUTCOME_UNKNOWN(506, EventLevel.WARN, "effect of an earlier claim is not known", "check the effect at the service"),
    CLAIM_KEY_EXPIRED(
        507,
        EventLevel.WARN,
        "key is older than the claim horizon",
        "check the effect at the service; raise the retention if callers repeat later than this",
    ),
    CLAIM_LOG_DOWN(508, EventLevel.WARN, "claim could not be appended and the request was not run", "check the log"),
    CLAIM_UNSETTLED(
        509,
        EventLevel.WARN,
        "it is not known whether a claim was appended",
        "check the log; the caller may repeat with the same key",
    ),
    CLAIM_INDEX_RELOADED(510, EventLevel.INFO, "claim index read again from the log", NO_ACTION),
    CLAIM_FOLLOWER_BEHIND(511, EventLevel.WARN, "claim index is behind the log", "check the log and the load of the process"),
    CLAIM_OUTCOME_EVICTED(512, EventLevel.INFO, "kept outcome removed after outcome_keep_ms", NO_ACTION),
    CLAIM_RECORD_UNREADABLE(513, EventLevel.ERROR, "claim record cannot be read", "find out who appended it; its key is treated as taken"),

    // 6xx: endpoints and orders
    ENDPOINT_FOUND(600, EventLevel.INFO, "endpoint appeared in the instance list", NO_ACTION),
    ENDPOINT_LEAVING(601, EventLevel.INFO, "endpoint is leaving and takes no new work", NO_ACTION),
    ENDPOINT_GONE(602, EventLevel.INFO, "endpoint is gone from the instance list", NO_ACTION),
    ENDPOINT_UNREACHABLE(603, EventLevel.WARN, "endpoint does not answer", "look at the endpoint on its instance"),
    ENDPOINT_RECOVERED(604, EventLevel.INFO, "endpoint answers again", NO_ACTION),
    LEFTOVER_CANCELLED(605, EventLevel.INFO, "request of a former incarnation cancelled in the engine", NO_ACTION),
    CANCEL_FAILED(606, EventLevel.ERROR, "engine did not accept a cancel", "restart the engine if it still holds the memory"),
    ORPHAN_CANCELLED(607, EventLevel.INFO, "stream cancelled because no caller returned within the grace period", NO_ACTION),
    LEASE_EXPIRED(608, EventLevel.INFO, "lease expired unused", "look at the entry if this happens often"),
    ORDER_SENT(609, EventLevel.INFO, "order sent to the engine", NO_ACTION),
    ORDER_APPLIED(610, EventLevel.INFO, "engine applied the order", NO_ACTION),
    ORDER_REFUSED(611, EventLevel.ERROR, "engine refused the order", "compare the fencing number with the current revision"),
    ORDER_STALE_FENCING(
        612,
        EventLevel.WARN,
        "order with a stale fencing number withheld",
        "nothing; the process reads the configuration again",
    ),
    FENCING_UNCHECKED(
        613,
        EventLevel.WARN,
        "engine does not check fencing numbers",
        "close off the address of the engine as docs/operations.md says",
    ),
    CONCURRENCY_LIMIT_CHANGED(614, EventLevel.DEBUG, "concurrency limit follows the time between tokens", NO_ACTION),
    QUEUE_FULL(615, EventLevel.WARN, "queue of the endpoint is full", "add capacity or reduce the load"),
    ENGINE_MISMATCH(
        616,
        EventLevel.WARN,
        "engine reports another model or role than configured",
        "wait for the order in progress or give the order again",
    ),
    STREAM_BROKEN(617, EventLevel.WARN, "engine ended a stream early", "look at the engine"),
    GATE_CLOSED(618, EventLevel.INFO, "gate takes no new work", NO_ACTION),
    GATE_OPENED(619, EventLevel.INFO, "gate takes work", NO_ACTION),
    CACHE_EVENTS_GAP(620, EventLevel.DEBUG, "cache events have a gap", "nothing; the cached prefixes are a hint only"),
    ENGINE_MEMORY_MISMATCH(
        621,
        EventLevel.WARN,
        "engine holds more memory than the gate has granted",
        "look for requests that bypass the sidecar",
    ),

    // 7xx: platform
    LOG_DOWN(700, EventLevel.ERROR, "platform log does not answer", "check the log; model traffic goes on, claims and changes are refused"),
    LOG_UP(701, EventLevel.INFO, "platform log answers again", NO_ACTION),
    LOG_SLOW(702, EventLevel.WARN, "platform log answers slowly", "check the load of the log"),
    INSTANCE_LIST_DOWN(703, EventLevel.WARN, "instance list does not answer", "check the list; the last known instances stay in use"),
    INSTANCE_LIST_UP(704, EventLevel.INFO, "instance list answers again", NO_ACTION),
    WEIGHT_STORE_DOWN(705, EventLevel.WARN, "weight store does not answer", "plans show no cost until it answers"),
    PLATFORM_BAD_ANSWER(
        706,
        EventLevel.ERROR,
        "answer of an outside system could not be understood",
        "compare its version with the adapter",
    ),
    PLATFORM_REJECTED(707, EventLevel.WARN, "outside system refused a call", "see the status and detail"),

    // 8xx: audit
    AUDIT_DROPPED(800, EventLevel.WARN, "audit records dropped", "raise bytes_per_second or check the log"),
    AUDIT_BEHIND(801, EventLevel.WARN, "audit records wait for the log", "check the log"),
    AUDIT_RECOVERED(802, EventLevel.INFO, "audit records reach the log again", NO_ACTION),
    AUDIT_BATCH_REJECTED(803, EventLevel.ERROR, "log refused a batch of audit records", "see the status; the records are lost and counted"),
    AUDIT_FLUSHED(804, EventLevel.INFO, "audit records flushed before shutdown", NO_ACTION),
    AUDIT_LOST_AT_SHUTDOWN(805, EventLevel.WARN, "audit records could not be flushed before shutdown", "check the log"),
    AUDIT_RECORD_UNREADABLE(806, EventLevel.WARN, "audit batch cannot be read", "nothing; it is left out of the explanation"),

    // 9xx: security
    CALLER_REJECTED(900, EventLevel.WARN, "API key is not known", "look at the source if this repeats"),
    OPERATOR_REJECTED(901, EventLevel.WARN, "operator token is not known", "look at the source if this repeats"),
    OPERATOR_ACTION(902, EventLevel.INFO, "operator action", NO_ACTION),
    KEY_FILE_UNREADABLE(903, EventLevel.ERROR, "session key file cannot be read", "check path and permissions"),
    KEY_FILE_EXPOSED(904, EventLevel.WARN, "session key file can be read by others", "restrict the permissions to the owner"),
    RANK_DENIED(905, EventLevel.INFO, "organisation asked for a rank that it may not use", NO_ACTION),
    MODEL_DENIED(906, EventLevel.INFO, "organisation asked for a model that it may not use", NO_ACTION),
    REATTACH_DENIED(907, EventLevel.WARN, "request id belongs to another organisation", "look at the caller that used it"),
    PEER_ADDRESS_UNKNOWN(908, EventLevel.WARN, "session from an address that the instance list does not name", "find out who connects"),
    ;

    /** Number as it appears in log lines. */
    public val id: String = "KF-%04d".format(number)
}

private const val NO_ACTION = "nothing"
