package io.knapweedferry.routing.pipeline

import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of a server-sent event stream into complete events. Incomplete events are held back, because an endpoint
 * may fail in the middle of an event and the endpoint that takes over sends that event again.
 */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Number of bytes of an incomplete event that are held back. */
    var partialEventBytes = 0
        private set

    /** Offset in [buffer] of the line that is being scanned. */
    private var lineStart = 0

    val hasPartialEvent: Boolean get() = partialEventBytes > 0

    /** Appends [bytes] and returns the events that are now complete, in order. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val scanned = partialEventBytes
        append(bytes)
        val events = mutableListOf<StreamEvent>()
        var start = 0
        for (index in scanned until partialEventBytes) {
            if (buffer[index] != LF) continue
            if (isBlank(lineStart, index)) {
                events += StreamEvent(buffer.copyOfRange(start, index + 1))
                start = index + 1
            }
            lineStart = index + 1
        }
        discard(start)
        return events
    }

    /** Removes and returns the bytes after the last complete event. */
    fun takePartialEvent(): ByteArray = buffer.copyOf(partialEventBytes).also { discard(partialEventBytes) }

    private fun append(bytes: ByteArray) {
        val needed = partialEventBytes + bytes.size
        if (needed > buffer.size) buffer = buffer.copyOf(maxOf(needed, buffer.size * 2))
        bytes.copyInto(buffer, partialEventBytes)
        partialEventBytes = needed
    }

    private fun discard(count: Int) {
        if (count == 0) return
        buffer.copyInto(buffer, 0, count, partialEventBytes)
        partialEventBytes -= count
        lineStart = maxOf(0, lineStart - count)
    }

    private fun isBlank(
        start: Int,
        end: Int,
    ): Boolean = end == start || (end == start + 1 && buffer[start] == CR)

    companion object {
        private const val LF = '\n'.code.toByte()
        private const val CR = '\r'.code.toByte()

        /** Larger than a typical event. */
        private const val INITIAL_BYTES = 512

        /** Concatenates the bytes of [events]. */
        fun join(events: List<StreamEvent>): ByteArray =
            ByteArrayOutputStream(events.sumOf { it.bytes.size }).also { out -> events.forEach { out.write(it.bytes) } }.toByteArray()
    }
}
