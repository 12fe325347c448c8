package io.knapweedferry.telemetry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readLines

/** Guards against differences between the event catalogue in `docs/events.md` and [LogEvent]. */
internal class LogEventSpec {
    private val page = Path.of("..", "docs", "events.md")

    @Test
    fun `the rows of the page match the enum`() {
        val expected = LogEvent.entries.map { "| ${it.id} | ${it.level} | ${it.message} | ${it.action} |" }
        assertEquals(expected.joinToString("\n"), page.readLines().filter { it.startsWith("| KF-") }.joinToString("\n"))
    }

    @Test
    fun `numbers are unique and ascending`() {
        val numbers = LogEvent.entries.map { it.number }
        assertEquals(numbers.distinct().sorted(), numbers)
    }
}
