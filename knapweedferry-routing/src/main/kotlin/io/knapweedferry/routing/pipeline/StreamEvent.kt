package io.knapweedferry.routing.pipeline

/** One whole server-sent event. */
internal class StreamEvent(
    val bytes: ByteArray,
) {
    /** Value of its id field. */
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
