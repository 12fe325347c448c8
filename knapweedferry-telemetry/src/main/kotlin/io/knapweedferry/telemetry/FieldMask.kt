package io.knapweedferry.telemetry

/** Turns a field into text that may be written to a log: bounded and without credentials. */
internal object FieldMask {
    /** Longer values are cut; a stack trace or a prompt does not belong in a log line. */
    private const val MAX_VALUE_CHARS = 512
    private const val MASK = "***"
    private val secretKeys =
        setOf("authorization", "api_key", "token", "operator_token", "session_key", "shared_key", "secret", "password")
    private val bearer = Regex("(?i)\\b(bearer|basic)\\s+[^\\s\"',;]+")

    /** Text of [value] as it may be shown under [key]. */
    fun show(
        key: String,
        value: Any,
    ): String {
        if (key.lowercase() in secretKeys) return MASK
        val masked = bearer.replace(value.toString()) { "${it.groupValues[1]} $MASK" }
        return if (masked.length <= MAX_VALUE_CHARS) masked else masked.take(MAX_VALUE_CHARS) + "..."
    }
}
