package io.knapweedferry.daemon.command

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.config.settings.EntrySettings
import io.knapweedferry.config.settings.SettingsLoader
import io.knapweedferry.config.settings.SettingsPrinter
import io.knapweedferry.config.settings.SettingsProblem
import io.knapweedferry.daemon.process.DaemonProcess
import io.knapweedferry.daemon.process.EntryProcess
import io.knapweedferry.session.SessionKey
import io.knapweedferry.telemetry.EventLog
import java.nio.file.Path

/** `knapweedferryd entry`. */
internal class EntryCommand : DaemonCommand<EntryCommand.SettingsAndKey>("entry", "Run the HTTP frontend for clients and operators") {
    internal class SettingsAndKey(
        val settings: EntrySettings,
        val key: SessionKey,
    )

    override fun load(file: Path): Either<List<SettingsProblem>, SettingsAndKey> =
        SettingsLoader.entry(file).flatMap { settings ->
            SettingsLoader
                .sessionKey(settings.session.keyFile)
                .mapLeft { listOf(it) }
                .map { SettingsAndKey(settings, SessionKey(it)) }
        }

    override fun formatSettings(loaded: SettingsAndKey): String = SettingsPrinter.print(loaded.settings, EntrySettings.serializer())

    override fun createProcess(
        loaded: SettingsAndKey,
        events: EventLog,
    ): DaemonProcess = EntryProcess(loaded.settings, loaded.key, events)
}
