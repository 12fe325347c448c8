package io.knapweedferry.routing.pipeline

/** One complete server-sent event, including the blank line that ends it. */
internal class StreamEvent(
    val bytes: ByteArray,
) {
    /** Value of the `id` field; null if the event has none. */
    val id: String? by lazy(LazyThreadSafetyMode.NONE) {
        String(bytes, Charsets.ISO_8859_1)
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
    }

    /** False for a comment, which an engine may send to keep the connection open. */
    val hasData: Boolean by lazy(LazyThreadSafetyMode.NONE) {
        String(bytes, Charsets.ISO_8859_1).lineSequence().any { it.startsWith(DATA_FIELD) }
    }

    /** False for text of another kind, such as an error message where the next event should be. */
    val isWellFormed: Boolean by lazy(LazyThreadSafetyMode.NONE) {
        val lines = String(bytes, Charsets.ISO_8859_1).lines().filter { it.isNotBlank() }
        lines.isEmpty() || lines.any { line -> FIELDS.any(line::startsWith) }
    }

    private companion object {
        /** Fields of an event; a line that starts with a colon is a comment. */
        val FIELDS = listOf("data", "id", "event", "retry", ":")
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data"
    }
}
