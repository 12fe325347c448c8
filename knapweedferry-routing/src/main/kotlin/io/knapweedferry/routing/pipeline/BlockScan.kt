package io.knapweedferry.routing.pipeline

/** Combines the scans of consecutive complete events at the start of one buffer. */
internal class BlockScan {
    /** Offset after the last complete event; 0 if there is none. */
    var end = 0
        private set
    private var dataEvents = 0
    private var isWellFormed = true
    private var idStart = 0
    private var idEnd = 0
    private val idRanges = ArrayList<IntRange>()

    /** Adds the event that ends at the offset [end]. */
    fun add(
        event: EventScan,
        end: Int,
    ) {
        this.end = end
        if (event.hasData) dataEvents++
        if (!event.isWellFormed) isWellFormed = false
        if (!event.hasId) return
        idStart = event.idStart
        idEnd = event.idEnd
        if (event.hasData) idRanges += event.idStart until event.idEnd
    }

    fun toBlock(buffer: ByteArray): EventBlock {
        val lastEventId = if (idEnd > idStart) text(buffer, idStart, idEnd) else null
        val ids = idRanges.mapNotNull { text(buffer, it.first, it.last + 1).toLongOrNull() }.toLongArray()
        return EventBlock(buffer.copyOf(end), lastEventId, ids, dataEvents, isWellFormed)
    }

    private fun text(
        buffer: ByteArray,
        start: Int,
        end: Int,
    ) = String(buffer, start, end - start, Charsets.ISO_8859_1).trim()
}
