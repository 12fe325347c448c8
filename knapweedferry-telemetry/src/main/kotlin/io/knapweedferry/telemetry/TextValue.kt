package io.knapweedferry.telemetry

/** Encodes a value for a text log line: quoted if needed, with control characters and line breaks escaped. */
internal object TextValue {
    private val plain = Regex("[^\\s\"\\\\=\\p{Cntrl}\\u0085\\u2028\\u2029]+")

    /** [value] in a form that holds no line break and can be told apart from the next field. */
    fun encode(value: String): String {
        if (plain.matches(value)) return value
        return value.asIterable().joinToString("", "\"", "\"") { escape(it) }
    }

    private fun escape(char: Char): String =
        when {
            char == '\n' -> "\\n"
            char == '\r' -> "\\r"
            char == '\t' -> "\\t"
            char == '"' || char == '\\' -> "\\$char"
            char.isISOControl() || char in LINE_SEPARATORS -> "\\u%04x".format(char.code)
            else -> char.toString()
        }

    private const val LINE_SEPARATORS = "\u2028\u2029"
}
