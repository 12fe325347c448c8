package io.knapweedferry.routing.upstream

/**
 * Limits the total memory of the responses that are buffered. Each response may hold a share of what the others leave free, so
 * many large responses at a time get less each, and small ones still find room. Confined to the event loop.
 */
internal class ResponseMemory(
    private val maxBytes: Long,
) {
    private var usedBytes = 0L

    /** Memory of one response. */
    inner class Share : AutoCloseable {
        private var heldBytes = 0L

        /** Reserves [bytes] more; false if the response would hold more than its share. */
        fun tryGrow(bytes: Int): Boolean {
            if (heldBytes + bytes > (maxBytes - usedBytes) / FREE_MEMORY_DIVISOR) return false
            heldBytes += bytes
            usedBytes += bytes
            return true
        }

        override fun close() {
            usedBytes -= heldBytes
            heldBytes = 0
        }
    }

    private companion object {
        /** One response may hold a fourth of the free memory. */
        const val FREE_MEMORY_DIVISOR = 4
    }
}
