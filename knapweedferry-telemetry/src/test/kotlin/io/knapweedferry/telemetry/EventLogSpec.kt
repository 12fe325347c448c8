package io.knapweedferry.telemetry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.time.Instant
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against forged log lines, leaked credentials and fields that a parser cannot separate. */
internal class EventLogSpec {
    @ParameterizedTest
    @MethodSource("fields")
    fun `text lines are escaped and masked`(
        field: Pair<String, Any?>,
        expected: String,
    ) {
        assertEquals("KF-0301 session closed$expected", write(EventFormat.TEXT, field))
    }

    @ParameterizedTest
    @MethodSource("jsonFields")
    fun `json lines are escaped and masked and fields do not overwrite standard keys`(
        field: Pair<String, Any?>,
        expected: String,
    ) {
        assertEquals(
            """{"time":"1970-01-01T00:00:00Z","event":"KF-0301","level":"INFO","message":"session closed"$expected}""",
            write(EventFormat.JSON, field),
        )
    }

    @Test
    fun `each event has its own rate limit and suppressed lines are counted`() {
        val time = TestTimeSource()
        val lines = mutableListOf<String>()
        val log = EventLog(sink = { _, line -> lines += line }, linesPerSecond = 2, timeSource = time)
        repeat(10) { log.write(LogEvent.REQUEST_NOT_RUN) }
        log.write(LogEvent.SESSION_CLOSED)
        time += 1.seconds
        repeat(2) { log.write(LogEvent.REQUEST_NOT_RUN) }
        val notRunLine = "KF-0402 request was not run"
        assertEquals(listOf(notRunLine, notRunLine, "KF-0301 session closed", "$notRunLine suppressed_lines=8", notRunLine), lines)
    }

    private fun write(
        format: EventFormat,
        field: Pair<String, Any?>,
    ): String {
        val lines = mutableListOf<String>()
        EventLog(format, { level, line -> lines += line.also { assertEquals(EventLevel.INFO, level) } }, clock = { Instant.EPOCH })
            .write(LogEvent.SESSION_CLOSED, field)
        return lines.single()
    }

    private companion object {
        @JvmStatic
        fun fields(): List<Array<Any>> =
            listOf(
                arrayOf("peer" to "entry-1", " peer=entry-1"),
                arrayOf("count" to 3, " count=3"),
                arrayOf("peer" to null, ""),
                arrayOf("peer" to "", " peer=\"\""),
                arrayOf("peer" to "a b", " peer=\"a b\""),
                arrayOf("peer" to "x\nKF-0902 operator action", " peer=\"x\\nKF-0902 operator action\""),
                arrayOf("peer" to "a\r\t\u0007\u2028\u0085", " peer=\"a\\r\\t\\u0007\\u2028\\u0085\""),
                arrayOf("peer" to "a\"b\\c=d", " peer=\"a\\\"b\\\\c=d\""),
                arrayOf("peer" to "{}", " peer={}"),
                arrayOf("Token" to "kf-live-1", " Token=***"),
                arrayOf("session_key" to "00ff", " session_key=***"),
                arrayOf("detail" to "sent bearer kf-live-1, refused", " detail=\"sent bearer ***, refused\""),
                arrayOf("detail" to "x".repeat(600), " detail=" + "x".repeat(512) + "..."),
            )

        @JvmStatic
        fun jsonFields(): List<Array<Any>> =
            listOf(
                arrayOf("peer" to "a\nb\"", ""","peer":"a\nb\"""""),
                arrayOf("message" to "forged", ""),
                arrayOf("password" to "x", ""","password":"***""""),
            )
    }
}
