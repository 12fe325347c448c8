package io.knapweedferry.routing.upstream

/**
 * Counts the bytes of responses that have been received and not yet taken by their readers, over all connections to endpoints. A
 * connection is not read further once its response holds a share of what the others leave free. Confined to the event loop.
 */
internal class UnreadMemory(
    private val maxBytes: Int,
) {
    private var usedBytes = 0

    fun add(bytes: Int) {
        usedBytes += bytes
    }

    fun remove(bytes: Int) {
        usedBytes -= bytes
    }

    /** Bytes that one response may hold; small if many responses wait, but enough for a stream to go on. */
    val maxPerResponse: Int get() = ((maxBytes - usedBytes) / FREE_MEMORY_DIVISOR).coerceIn(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)

    private companion object {
        const val FREE_MEMORY_DIVISOR = 4
        const val MIN_RESPONSE_BYTES = 16 * 1024

        /** Far larger than one event or one typical response. */
        const val MAX_RESPONSE_BYTES = 256 * 1024
    }
}
