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
internal class SidecarCommand : DaemonCommand<SidecarCommand.Loaded>("sidecar", "Run admission control for the endpoints of one instance") {
    internal class Loaded(
        val settings: SidecarSettings,
        val key: SessionKey,
    )

    override fun load(file: Path): Either<List<SettingsProblem>, Loaded> =
        SettingsLoader.sidecar(file).flatMap { settings ->
            SettingsLoader
                .sessionKey(settings.session.keyFile)
                .mapLeft { listOf(it) }
                .map { Loaded(settings, SessionKey(it)) }
        }

    override fun print(settings: Loaded): String = SettingsPrinter.print(settings.settings, SidecarSettings.serializer())

    override fun create(
        settings: Loaded,
        events: EventLog,
    ): DaemonProcess = SidecarProcess(settings.settings, settings.key, events)
}
