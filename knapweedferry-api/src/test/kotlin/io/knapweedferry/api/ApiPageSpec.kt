package io.knapweedferry.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/** Guards against error codes, statuses and remedies that differ between the code and `docs/api.md`. */
internal class ApiPageSpec {
    private val page = Path.of("..", "docs", "api.md").readText()

    @Test
    fun `the table of refusals matches the enum`() {
        assertEquals(RefusalReason.entries.map { row(it.code, it.httpStatus, it.remedy) }, rowsOf("Not run"))
    }

    @Test
    fun `the table of failures matches the enum`() {
        assertEquals(FailureReason.entries.map { row(it.code, BAD_GATEWAY, it.remedy) }, rowsOf("Failed"))
    }

    @Test
    fun `the table of unknown outcomes matches the enum`() {
        assertEquals(UnknownReason.entries.map { row(it.code, GATEWAY_TIMEOUT, it.remedy) }, rowsOf("Unknown"))
    }

    private fun row(
        code: String,
        status: Int,
        remedy: String,
    ) = "| `$code` | $status | $remedy |"

    private fun rowsOf(section: String): List<String> =
        page
            .substringAfter("### $section\n")
            .substringBefore("\n#")
            .lines()
            .filter { it.startsWith("| `") }

    private companion object {
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
    }
}
