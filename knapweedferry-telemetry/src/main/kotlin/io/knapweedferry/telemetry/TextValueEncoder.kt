package io.knapweedferry.telemetry

/** Encodes field values for text log lines: quoted if necessary, with control characters and line breaks escaped. */
internal object TextValueEncoder {
    private val unquotedValue = Regex("[^\\s\"\\\\=\\p{Cntrl}\\u0085\\u2028\\u2029]+")

    /** Returns [value] without line breaks and delimited so that a parser can find the next field. */
    fun encode(value: String): String {
        if (unquotedValue.matches(value)) return value
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
