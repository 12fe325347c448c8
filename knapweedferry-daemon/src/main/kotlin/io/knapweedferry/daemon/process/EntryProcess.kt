package io.knapweedferry.daemon.process

import io.knapweedferry.config.settings.EntrySettings
import io.knapweedferry.entry.Entry
import io.knapweedferry.session.SessionKey
import io.knapweedferry.telemetry.EventLog

/** Adapts an [Entry] to the lifecycle of a daemon. */
internal class EntryProcess(
    private val settings: EntrySettings,
    key: SessionKey,
    events: EventLog,
) : DaemonProcess {
    private val entry = Entry(settings, key, Incarnations.random(), events)

    override val processId: String get() = settings.process.id.value

    override val drainTimeoutMs: Long get() = settings.shutdown.drainTimeoutMs

    override val requestsInFlight: Int get() = entry.requestsInFlight

    override suspend fun start() {
        entry.start()
    }

    override suspend fun drain(timeoutMs: Long): Boolean = entry.drain(timeoutMs)

    override suspend fun stop() {
        entry.stop()
    }
}
