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

    private companion object {
        const val ID_FIELD = "id:"
    }
}
