package io.knapweedferry.telemetry

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlin.time.TimeMark

/** Collects the decisions about one request. Thread safe and bounded; later steps than the limit are only counted. */
public class RequestTrace internal constructor(
    public val requestId: RequestId,
    private val startedAtMs: Long,
    private val start: TimeMark,
) {
    private val lock = Any()
    private val steps = ArrayList<AuditStep>()
    private var omitted = 0

    /** Set once the caller is authenticated. */
    @Volatile
    public var organisation: OrganisationId? = null

    /** Adds a decision with its short [inputs]; a null input is left out. */
    public fun step(
        stage: TraceStage,
        decision: String,
        reason: String = "",
        vararg inputs: Pair<String, Any?>,
    ) {
        val shown = inputs.mapNotNull { (key, value) -> value?.let { key.take(MAX_KEY_CHARS) to show(key, it) } }
        val elapsedMs = start.elapsedNow().inWholeMilliseconds
        val step = AuditStep(stage.name.lowercase(), show("", decision), show("", reason), shown.take(MAX_INPUTS).toMap(), elapsedMs)
        synchronized(lock) { if (steps.size < MAX_STEPS) steps += step else omitted++ }
    }

    /** What was collected so far, with [outcome] as the end. */
    internal fun record(outcome: String): AuditRecord =
        synchronized(lock) {
            AuditRecord(
                requestId = RequestId(requestId.value.take(MAX_VALUE_CHARS)),
                organisation = organisation,
                startedAtMs = startedAtMs,
                elapsedMs = start.elapsedNow().inWholeMilliseconds,
                outcome = show("", outcome),
                steps = steps.toList(),
                omittedSteps = omitted,
            )
        }

    private fun show(
        key: String,
        value: Any,
    ): String = FieldMask.show(key, value).take(MAX_VALUE_CHARS)

    private companion object {
        // With these limits a record stays under about 30 KB; typical ones are well under 2 KB.
        const val MAX_STEPS = 32
        const val MAX_INPUTS = 8
        const val MAX_KEY_CHARS = 24
        const val MAX_VALUE_CHARS = 96
    }
}
