package io.knapweedferry.routing.pipeline

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against truncated events when the bytes of a stream arrive in chunks of any size. */
internal class EventSplitterSpec {
    private val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\nid: 4\nda"

    @Test
    fun `every chunk size yields the same events`() {
        (1..text.length).forEach { size ->
            val splitter = EventSplitter()
            val events =
                text
                    .encodeToByteArray()
                    .toList()
                    .chunked(size)
                    .flatMap { splitter.add(it.toByteArray()) }
            assertEquals(listOf("1", "2", "3"), events.map { it.id }, "chunks of $size bytes")
            assertEquals("id: 4\nda", splitter.takePartialEvent().decodeToString())
            assertEquals(text.removeSuffix("id: 4\nda"), EventSplitter.join(events).decodeToString())
        }
    }
}
