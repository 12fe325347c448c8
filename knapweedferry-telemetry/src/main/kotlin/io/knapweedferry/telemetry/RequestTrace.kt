package io.knapweedferry.telemetry

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlin.time.TimeMark

/** Records the decisions made for one request. Thread safe and bounded: steps beyond the limit are only counted. */
public class RequestTrace internal constructor(
    public val requestId: RequestId,
    private val startedAtMs: Long,
    private val start: TimeMark,
) {
    private val lock = Any()
    private val steps = ArrayList<AuditStep>()
    private var omittedSteps = 0

    /** Set once the caller is authenticated. */
    @Volatile
    public var organisation: OrganisationId? = null

    /** Adds a decision with the [inputs] it was based on. Null inputs are omitted, long values are truncated. */
    public fun step(
        stage: TraceStage,
        decision: String,
        reason: String = "",
        vararg inputs: Pair<String, Any?>,
    ) {
        val sanitizedInputs = inputs.mapNotNull { (key, value) -> value?.let { key.take(MAX_KEY_CHARS) to sanitize(key, it) } }
        val elapsedMs = start.elapsedNow().inWholeMilliseconds
        val step =
            AuditStep(
                stage = stage.name.lowercase(),
                decision = sanitize("", decision),
                reason = sanitize("", reason),
                inputs = sanitizedInputs.take(MAX_INPUTS).toMap(),
                elapsedMs = elapsedMs,
            )
        synchronized(lock) { if (steps.size < MAX_STEPS) steps += step else omittedSteps++ }
    }

    /** Returns the steps so far as a record with [outcome]. */
    internal fun record(outcome: String): AuditRecord =
        synchronized(lock) {
            AuditRecord(
                requestId = RequestId(requestId.value.take(MAX_VALUE_CHARS)),
                organisation = organisation,
                startedAtMs = startedAtMs,
                elapsedMs = start.elapsedNow().inWholeMilliseconds,
                outcome = sanitize("", outcome),
                steps = steps.toList(),
                omittedSteps = omittedSteps,
            )
        }

    private fun sanitize(
        key: String,
        value: Any,
    ): String = FieldSanitizer.sanitize(key, value).take(MAX_VALUE_CHARS)

    private companion object {
        // Together these limits keep a record below about 30 KB; typical records are well below 2 KB.
        const val MAX_STEPS = 32
        const val MAX_INPUTS = 8
        const val MAX_KEY_CHARS = 24
        const val MAX_VALUE_CHARS = 96
    }
}
