package io.knapweedferry.daemon.command

import arrow.core.Either
import io.knapweedferry.config.settings.SettingsProblem
import io.knapweedferry.daemon.process.DaemonProcess
import io.knapweedferry.daemon.process.DaemonRunner
import io.knapweedferry.telemetry.EventFormat
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.ExitCode
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Path
import kotlin.system.exitProcess

/** Shared part of the role commands: loads the settings, then validates them, prints them or runs the daemon until a signal. */
@OptIn(ExperimentalCli::class)
internal abstract class DaemonCommand<S>(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private val config by option(ArgType.String, "config", description = "settings file in TOML").required()
    private val checkOnly by option(ArgType.Boolean, "check", description = "validate the settings and exit").default(false)
    private val printConfig by option(
        ArgType.Boolean,
        "print-config",
        description = "print the effective settings without secrets and exit",
    ).default(false)
    private val logFormat by option(
        ArgType.Choice<EventFormat>(),
        "log-format",
        description = "format of log lines",
    ).default(EventFormat.TEXT)

    /** Reads and validates the settings file and the files that it refers to. */
    protected abstract fun load(file: Path): Either<List<SettingsProblem>, S>

    /** Formats the effective settings, without secrets. */
    protected abstract fun formatSettings(loaded: S): String

    /** Creates the process without starting it. */
    protected abstract fun createProcess(
        loaded: S,
        events: EventLog,
    ): DaemonProcess

    override fun execute() {
        val loaded = load(Path.of(config)).fold({ return exitWithProblems(it) }, { it })
        when {
            printConfig -> println(formatSettings(loaded))
            checkOnly -> println("$config: settings are valid")
            else -> exitProcess(DaemonRunner(EventLog(logFormat)) { createProcess(loaded, it) }.run().code)
        }
    }

    private fun exitWithProblems(problems: List<SettingsProblem>) {
        problems.forEach { System.err.println(it.message) }
        exitProcess(ExitCode.BAD_SETTINGS.code)
    }
}
