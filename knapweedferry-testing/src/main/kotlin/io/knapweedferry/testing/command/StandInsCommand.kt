package io.knapweedferry.testing.command

import io.knapweedferry.testing.standin.StandIns
import io.knapweedferry.testing.standin.settings.StandInsSettings
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import java.nio.file.Path

/** Runs stand-ins for the log, instance list, weight store, engines and services until the process is stopped. */
@OptIn(ExperimentalCli::class)
internal class StandInsCommand : Subcommand("stand-ins", "Run stand-ins for the outside systems") {
    private val config by option(ArgType.String, fullName = "config", description = "TOML settings file").required()

    override fun execute() {
        val standIns = StandIns(StandInsSettings.load(Path.of(config)))
        standIns.start()
        Runtime.getRuntime().addShutdownHook(Thread(standIns::close))
        Ready.announceAndWait()
    }
}
