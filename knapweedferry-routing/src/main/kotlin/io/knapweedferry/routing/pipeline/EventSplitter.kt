package io.knapweedferry.routing.pipeline

import java.io.ByteArrayOutputStream

/**
 * Cuts the bytes of a server-sent event stream into whole events. Only whole events are delivered, because an endpoint may
 * stop in the middle of one and another endpoint then sends that event again.
 */
internal class EventSplitter {
    private var rest = ByteArray(INITIAL_BYTES)

    /** Bytes of an unfinished event that are held back. */
    var restBytes = 0
        private set

    /** Where the line begins that is being scanned. */
    private var lineStart = 0

    /** True if bytes of an unfinished event are held back. */
    val hasRest: Boolean get() = restBytes > 0

    /** Whole events that [bytes] complete, in order. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val scanned = restBytes
        append(bytes)
        val events = mutableListOf<StreamEvent>()
        var start = 0
        for (index in scanned until restBytes) {
            if (rest[index] != LF) continue
            if (isBlank(lineStart, index)) {
                events += StreamEvent(rest.copyOfRange(start, index + 1))
                start = index + 1
            }
            lineStart = index + 1
        }
        drop(start)
        return events
    }

    /** Bytes after the last whole event. */
    fun takeRest(): ByteArray = rest.copyOf(restBytes).also { drop(restBytes) }

    private fun append(bytes: ByteArray) {
        val needed = restBytes + bytes.size
        if (needed > rest.size) rest = rest.copyOf(maxOf(needed, rest.size * 2))
        bytes.copyInto(rest, restBytes)
        restBytes = needed
    }

    private fun drop(count: Int) {
        if (count == 0) return
        rest.copyInto(rest, 0, count, restBytes)
        restBytes -= count
        lineStart = maxOf(0, lineStart - count)
    }

    private fun isBlank(
        start: Int,
        end: Int,
    ): Boolean = end == start || (end == start + 1 && rest[start] == CR)

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
