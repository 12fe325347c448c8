package io.knapweedferry.routing.pipeline

import java.io.ByteArrayOutputStream

/**
 * Cuts the bytes of a server-sent event stream into whole events. Only whole events are delivered, because an endpoint may
 * stop in the middle of one and another endpoint then sends that event again.
 */
internal class EventSplitter {
    private var rest = ByteArray(0)

    /** True if bytes of an unfinished event are held back. */
    val hasRest: Boolean get() = rest.isNotEmpty()

    /** Whole events that [bytes] complete, in order. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val all = if (rest.isEmpty()) bytes else rest + bytes
        val events = mutableListOf<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end >= 0) {
            events += StreamEvent(all.copyOfRange(start, end))
            start = end
            end = endOfEvent(all, start)
        }
        rest = if (start == 0) all else all.copyOfRange(start, all.size)
        return events
    }

    /** Bytes after the last whole event. */
    fun takeRest(): ByteArray = rest.also { rest = ByteArray(0) }

    /** Index after the empty line that ends the event at [start], or -1. */
    private fun endOfEvent(
        bytes: ByteArray,
        start: Int,
    ): Int {
        var lineStart = start
        var index = start
        while (index < bytes.size) {
            if (bytes[index] == LF) {
                val length = index - lineStart
                if (length == 0 || (length == 1 && bytes[lineStart] == CR)) return index + 1
                lineStart = index + 1
            }
            index++
        }
        return -1
    }

    companion object {
        private const val LF = '\n'.code.toByte()
        private const val CR = '\r'.code.toByte()

        /** All bytes of [events] in order. */
        fun join(events: List<StreamEvent>): ByteArray =
            ByteArrayOutputStream(events.sumOf { it.bytes.size }).also { out -> events.forEach { out.write(it.bytes) } }.toByteArray()
    }
}
