package io.knapweedferry.routing.pipeline

import java.io.ByteArrayOutputStream

/**
 * Cuts the bytes of a server-sent event stream into whole events. Only whole events are delivered, because an endpoint may
 * stop in the middle of one and another endpoint then sends that event again.
 */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Bytes of an unfinished event that are held back. */
    var partialEventBytes = 0
        private set

    /** Where the line begins that is being scanned. */
    private var lineStart = 0

    /** True if bytes of an unfinished event are held back. */
    val hasPartialEvent: Boolean get() = partialEventBytes > 0

    /** Whole events that [bytes] complete, in order. */
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

    /** Bytes after the last whole event. */
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

        /** Above a usual event. */
        private const val INITIAL_BYTES = 512

        /** All bytes of [events] in order. */
        fun join(events: List<StreamEvent>): ByteArray =
            ByteArrayOutputStream(events.sumOf { it.bytes.size }).also { out -> events.forEach { out.write(it.bytes) } }.toByteArray()
    }
}
