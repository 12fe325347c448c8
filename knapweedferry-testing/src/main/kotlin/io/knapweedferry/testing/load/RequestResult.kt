package io.knapweedferry.testing.load

/** Result of one request. Times are relative to the planned arrival, so that they include any wait in the driver. */
public data class RequestResult(
    val request: PlannedRequest,
    val kind: ResultKind,
    /** Code of the refusal or failure; empty for completed requests. */
    val reason: String = "",
    val firstTokenMs: Double = 0.0,
    val endMs: Double = 0.0,
    val tokens: Int = 0,
    /** Times between successive tokens. */
    val tokenGapsMs: List<Double> = emptyList(),
) {
    /** Mean inter-token time of this answer; 0 for fewer than two tokens. */
    val meanInterTokenMs: Double get() = if (tokens <= 1) 0.0 else (endMs - firstTokenMs) / (tokens - 1)

    /** Whether the answer is complete and within both targets. */
    public fun meets(target: LoadTarget): Boolean =
        kind == ResultKind.COMPLETED && firstTokenMs <= target.firstTokenMs && meanInterTokenMs <= target.interTokenMs
}
