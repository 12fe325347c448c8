package io.knapweedferry.daemon.command

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.config.settings.SettingsLoader
import io.knapweedferry.config.settings.SettingsPrinter
import io.knapweedferry.config.settings.SettingsProblem
import io.knapweedferry.config.settings.SidecarSettings
import io.knapweedferry.daemon.process.DaemonProcess
import io.knapweedferry.daemon.process.SidecarProcess
import io.knapweedferry.session.SessionKey
import io.knapweedferry.telemetry.EventLog
import java.nio.file.Path

/** `knapweedferryd sidecar`. */
internal class SidecarCommand :
    DaemonCommand<SidecarCommand.SettingsAndKey>("sidecar", "Run admission control for the endpoints of one instance") {
    internal class SettingsAndKey(
        val settings: SidecarSettings,
        val key: SessionKey,
    )

    override fun load(file: Path): Either<List<SettingsProblem>, SettingsAndKey> =
        SettingsLoader.sidecar(file).flatMap { settings ->
            SettingsLoader
                .sessionKey(settings.session.keyFile)
                .mapLeft { listOf(it) }
                .map { SettingsAndKey(settings, SessionKey(it)) }
        }

    override fun formatSettings(loaded: SettingsAndKey): String = SettingsPrinter.print(loaded.settings, SidecarSettings.serializer())

    override fun createProcess(
        loaded: SettingsAndKey,
        events: EventLog,
    ): DaemonProcess = SidecarProcess(loaded.settings, loaded.key, events)
}
