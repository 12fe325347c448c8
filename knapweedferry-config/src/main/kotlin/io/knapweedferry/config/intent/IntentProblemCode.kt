package io.knapweedferry.config.intent

/** Kinds of [IntentProblem]. */
public enum class IntentProblemCode(
    /** Stable code used in RFC 9457 problem details. */
    public val code: String,
) {
    UNKNOWN_ENDPOINT("unknown_endpoint"),
    UNKNOWN_MODEL("unknown_model"),
    UNKNOWN_SERVICE("unknown_service"),
    INVALID_VALUE("invalid_value"),
    KIND_MISMATCH("kind_mismatch"),
    NEEDS_FORCE("needs_force"),
    NOTHING_TO_CHANGE("nothing_to_change"),
}
