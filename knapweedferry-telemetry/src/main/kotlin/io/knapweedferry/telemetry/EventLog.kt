package io.knapweedferry.telemetry

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.InstantSource
import kotlin.time.TimeSource

/**
 * Writes each [LogEvent] as one line. Field values are truncated, line breaks in them are escaped and secrets are masked, so
 * that a caller can neither forge a log line nor leak a credential through the log.
 */
public class EventLog(
    private val format: EventFormat = EventFormat.TEXT,
    private val sink: EventSink = TinylogSink,
    /** Fields added to every line, for example the process id. */
    private val commonFields: List<Pair<String, String>> = emptyList(),
    linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
    timeSource: TimeSource = TimeSource.Monotonic,
    /** Source of the `time` field of JSON lines; tinylog adds the time to text lines. */
    private val clock: InstantSource = InstantSource.system(),
) {
    private val start = timeSource.markNow()
    private val rateLimiters = LogEvent.entries.map { LineRateLimiter(linesPerSecond) }

    /**
     * Writes [event] with [fields] as key-value pairs; null values are omitted. Each event has its own rate limit: lines beyond
     * it are suppressed, and the next line of the event reports their number as `suppressed_lines`.
     */
    public fun write(
        event: LogEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        if (!sink.accepts(event.level)) return
        val suppressed = rateLimiters[event.ordinal].tryAcquire(start.elapsedNow().inWholeSeconds) ?: return
        val suppressedField = "suppressed_lines" to suppressed.takeIf { it > 0 }
        val sanitized =
            (commonFields + fields + suppressedField).mapNotNull { (key, value) -> value?.let { key to FieldSanitizer.sanitize(key, it) } }
        sink.write(event.level, if (format == EventFormat.JSON) jsonLine(event, sanitized) else textLine(event, sanitized))
    }

    private fun textLine(
        event: LogEvent,
        fields: List<Pair<String, String>>,
    ): String =
        buildString {
            append(event.id).append(' ').append(event.message)
            fields.forEach { (key, value) -> append(' ').append(key).append('=').append(TextValueEncoder.encode(value)) }
        }

    private fun jsonLine(
        event: LogEvent,
        fields: List<Pair<String, String>>,
    ): String =
        buildJsonObject {
            put("time", clock.instant().toString())
            put("event", event.id)
            put("level", event.level.name)
            put("message", event.message)
            // Fields must not overwrite the standard keys.
            fields.filter { it.first !in RESERVED_KEYS }.forEach { (key, value) -> put(key, JsonPrimitive(value)) }
        }.toString()

    public companion object {
        /** Default limit for the lines of one event; more lines per second add no information for an operator. */
        public const val DEFAULT_LINES_PER_SECOND: Int = 50
        private val RESERVED_KEYS = setOf("time", "event", "level", "message")
    }
}
