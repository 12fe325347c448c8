package io.knapweedferry.routing.pipeline

/** What the lines of one server-sent event contain, as offsets in the buffer that holds them. */
internal class EventScan {
    private var hasText = false
    private var hasField = false

    var hasData = false
        private set

    /** Offsets of the value of the first `id` field; empty if there is none. */
    var idStart = 0
        private set
    var idEnd = 0
        private set

    val hasId: Boolean get() = idEnd > idStart

    /** True if the event has no text, or at least one field or comment. */
    val isWellFormed: Boolean get() = hasField || !hasText

    fun addLine(
        buffer: ByteArray,
        start: Int,
        end: Int,
    ) {
        hasText = hasText || !isBlank(buffer, start, end)
        hasField = hasField || isField(buffer, start, end)
        hasData = hasData || DATA.isPrefixOf(buffer, start, end)
        if (hasId || !ID.isPrefixOf(buffer, start, end)) return
        idStart = start + ID.size
        idEnd = end
    }

    /** [isWellFormed] with a further line that has not ended yet and may be empty. */
    fun isWellFormedWith(
        buffer: ByteArray,
        start: Int,
        end: Int,
    ): Boolean = hasField || isField(buffer, start, end) || (!hasText && isBlank(buffer, start, end))

    private fun isBlank(
        buffer: ByteArray,
        start: Int,
        end: Int,
    ) = (start until end).all { buffer[it] in 0..SPACE }

    private fun isField(
        buffer: ByteArray,
        start: Int,
        end: Int,
    ) = FIELDS.any { it.isPrefixOf(buffer, start, end) }

    /** Adapts the offsets after [count] bytes were removed from the start of the buffer. */
    fun moveBack(count: Int) {
        if (!hasId) return
        idStart -= count
        idEnd -= count
    }

    fun clear() {
        hasText = false
        hasField = false
        hasData = false
        idStart = 0
        idEnd = 0
    }

    private companion object {
        const val SPACE = ' '.code.toByte()
        val ID = "id:".encodeToByteArray()
        val DATA = "data".encodeToByteArray()

        /** Beginnings of the lines of an event; a line that starts with a colon is a comment. */
        val FIELDS = listOf("data", "id", "event", "retry", ":").map { it.encodeToByteArray() }

        fun ByteArray.isPrefixOf(
            buffer: ByteArray,
            start: Int,
            end: Int,
        ): Boolean = end - start >= size && indices.all { buffer[start + it] == this[it] }
    }
}
