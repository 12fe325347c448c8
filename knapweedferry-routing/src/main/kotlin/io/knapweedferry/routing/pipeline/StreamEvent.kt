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

    private companion object {
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data"
    }
}
