package io.knapweedferry.telemetry

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.InstantSource
import kotlin.time.TimeSource

/**
 * Writes one line per [LogEvent]. Values are cut to a bounded length, line breaks in them are escaped and secrets are
 * masked, so that a caller cannot forge a line or make the log leak a credential.
 */
public class EventLog(
    private val format: EventFormat = EventFormat.TEXT,
    private val sink: EventSink = TinylogSink,
    /** Fields that every line carries, for example the process id. */
    private val common: List<Pair<String, String>> = emptyList(),
    linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
    timeSource: TimeSource = TimeSource.Monotonic,
    /** Time in JSON lines; text lines leave it to tinylog. */
    private val clock: InstantSource = InstantSource.system(),
) {
    private val start = timeSource.markNow()
    private val rates = LogEvent.entries.map { LineRate(linesPerSecond) }

    /**
     * Writes [event] with [fields] as key and value; a null value is left out. Lines of one event beyond the limit per second
     * are left out, and the next line says how many.
     */
    public fun write(
        event: LogEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        if (!sink.accepts(event.level)) return
        val suppressed = rates[event.ordinal].admit(start.elapsedNow().inWholeSeconds) ?: return
        val note = "suppressed_lines" to suppressed.takeIf { it > 0 }
        val shown = (common + fields + note).mapNotNull { (key, value) -> value?.let { key to FieldMask.show(key, it) } }
        sink.write(event.level, if (format == EventFormat.JSON) jsonLine(event, shown) else textLine(event, shown))
    }

    private fun textLine(
        event: LogEvent,
        fields: List<Pair<String, String>>,
    ): String =
        buildString {
            append(event.id).append(' ').append(event.message)
            fields.forEach { (key, value) -> append(' ').append(key).append('=').append(TextValue.encode(value)) }
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
            // The fixed names come first, so a field of the same name must not replace them.
            fields.filter { it.first !in RESERVED_KEYS }.forEach { (key, value) -> put(key, JsonPrimitive(value)) }
        }.toString()

    public companion object {
        /** Lines of one event in a second; more tell an operator nothing new. */
        public const val DEFAULT_LINES_PER_SECOND: Int = 50
        private val RESERVED_KEYS = setOf("time", "event", "level", "message")
    }
}
