package io.knapweedferry.telemetry

import org.tinylog.kotlin.Logger

/** Writes log lines through tinylog. */
internal object TinylogSink : EventSink {
    // The lambda overloads log the line unchanged; the string overloads interpret braces in it as placeholders.
    override fun write(
        level: EventLevel,
        line: String,
    ) = when (level) {
        EventLevel.DEBUG -> Logger.debug { line }
        EventLevel.INFO -> Logger.info { line }
        EventLevel.WARN -> Logger.warn { line }
        EventLevel.ERROR -> Logger.error { line }
    }

    override fun accepts(level: EventLevel): Boolean =
        when (level) {
            EventLevel.DEBUG -> Logger.isDebugEnabled()
            EventLevel.INFO -> Logger.isInfoEnabled()
            EventLevel.WARN -> Logger.isWarnEnabled()
            EventLevel.ERROR -> Logger.isErrorEnabled()
        }
}
