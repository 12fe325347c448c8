package io.knapweedferry.routing.pipeline

/**
 * Splits the bytes of a server-sent event stream after its complete events. An incomplete event is held back, because an
 * endpoint may fail in the middle of an event and the endpoint that takes over sends that event again. The work for a part of
 * the stream depends on its size only, even if it consists of very many tiny events.
 */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Number of bytes of an incomplete event that are held back. */
    var partialEventBytes = 0
        private set

    /** Offset in [buffer] after the last line feed. */
    private var lineStart = 0

    /** Offset in [buffer] after the last line feed or carriage return; either may end a line of an event. */
    private var fieldStart = 0

    private val partialEvent = EventScan()

    val hasPartialEvent: Boolean get() = partialEventBytes > 0

    /** True if the bytes after the last complete event may be the beginning of another one. */
    val isPartialEventWellFormed: Boolean
        get() = partialEvent.isWellFormedWith(buffer, fieldStart, partialEventBytes)

    /** Appends [bytes] and returns the events that are now complete. */
    fun add(bytes: ByteArray): EventBlock {
        val scanned = partialEventBytes
        append(bytes)
        val complete = BlockScan()
        for (index in scanned until partialEventBytes) {
            if (buffer[index] == LF || buffer[index] == CR) endLine(index, complete)
        }
        return complete.toBlock(buffer).also { discard(complete.end) }
    }

    /** Handles the line end at [index]; a blank line also ends an event, which is added to [complete]. */
    private fun endLine(
        index: Int,
        complete: BlockScan,
    ) {
        if (index > fieldStart) partialEvent.addLine(buffer, fieldStart, index)
        fieldStart = index + 1
        if (buffer[index] != LF) return
        if (isBlankLine(index)) {
            complete.add(partialEvent, end = index + 1)
            partialEvent.clear()
        }
        lineStart = index + 1
    }

    /** Removes and returns the bytes after the last complete event. */
    fun takePartialEvent(): ByteArray =
        buffer.copyOf(partialEventBytes).also {
            partialEvent.clear()
            discard(partialEventBytes)
        }

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
        fieldStart = maxOf(0, fieldStart - count)
        partialEvent.moveBack(count)
    }

    /** True if the line that ends at the line feed at [index] is empty. */
    private fun isBlankLine(index: Int): Boolean = index == lineStart || (index == lineStart + 1 && buffer[lineStart] == CR)

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()

        /** Larger than a typical event. */
        const val INITIAL_BYTES = 512
    }
}
