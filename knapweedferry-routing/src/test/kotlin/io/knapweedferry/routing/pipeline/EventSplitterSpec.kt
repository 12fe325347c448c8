package io.knapweedferry.routing.pipeline

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards against truncated events when the bytes of a stream arrive in chunks of any size. */
internal class EventSplitterSpec {
    private val complete = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: comment\n\nversions: 3\nid: 3\ndata: c\n\n"
    private val partial = "id: 4\nda"

    private fun blocks(
        splitter: EventSplitter,
        text: String,
        size: Int,
    ): List<EventBlock> =
        text
            .encodeToByteArray()
            .toList()
            .chunked(size)
            .map { splitter.add(it.toByteArray()) }

    @Test
    fun `every chunk size yields the same events`() {
        (1..complete.length + partial.length).forEach { size ->
            val splitter = EventSplitter()
            val blocks = blocks(splitter, complete + partial, size)
            assertEquals(3, blocks.sumOf { it.dataEvents }, "chunks of $size bytes")
            assertEquals("3", blocks.last { it.lastEventId != null }.lastEventId)
            assertEquals(complete, blocks.joinToString("") { it.bytes.decodeToString() })
            assertEquals(partial, splitter.takePartialEvent().decodeToString())
        }
    }

    /** Text, whether its complete events are well-formed, and whether the rest may begin an event. */
    enum class Form(
        val text: String,
        val areEventsWellFormed: Boolean,
        val isRestWellFormed: Boolean,
    ) {
        EVENT("id: 1\ndata: a\n\n", true, true),
        COMMENT(": x\n\n", true, true),
        EMPTY_LINES("\n\n\r\n", true, true),
        UNKNOWN_LINE_BESIDE_A_FIELD("versions: 3\ndata: a\n\n", true, true),
        ERROR_TEXT("no such run\n\n", false, true),
        ERROR_TEXT_WITHOUT_AN_END("data: a\n\nno such run", true, false),
        BEGINNING_OF_AN_EVENT("data: a\n\nid: 2", true, true),
        FIELD_BEFORE_A_PARTIAL_LINE("id: 2\nver", true, true),
    }

    @ParameterizedTest
    @EnumSource(Form::class)
    fun `text that is no event is recognised`(form: Form) {
        (1..form.text.length).forEach { size ->
            val splitter = EventSplitter()
            val areWellFormed = blocks(splitter, form.text, size).all { it.isWellFormed }
            assertEquals(
                form.areEventsWellFormed to form.isRestWellFormed,
                areWellFormed to splitter.isPartialEventWellFormed,
                "chunks of $size bytes",
            )
        }
    }
}
