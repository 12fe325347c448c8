package io.knapweedferry.telemetry

/** Converts field values to text that is safe to log: truncated and with credentials masked. */
internal object FieldSanitizer {
    /** Keeps stack traces and prompts out of log lines. */
    private const val MAX_VALUE_CHARS = 512
    private const val MASK = "***"
    private val secretKeys =
        setOf("authorization", "api_key", "token", "operator_token", "session_key", "shared_key", "secret", "password")
    private val credentials = Regex("(?i)\\b(bearer|basic)\\s+[^\\s\"',;]+")

    /** Returns the loggable text of [value]; the whole value is masked if [key] names a secret. */
    fun sanitize(
        key: String,
        value: Any,
    ): String {
        if (key.lowercase() in secretKeys) return MASK
        val masked = credentials.replace(value.toString()) { "${it.groupValues[1]} $MASK" }
        return if (masked.length <= MAX_VALUE_CHARS) masked else masked.take(MAX_VALUE_CHARS) + "..."
    }
}
