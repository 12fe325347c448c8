package io.knapweedferry.cli.command

import arrow.core.getOrElse
import io.knapweedferry.cli.UsageException
import io.knapweedferry.config.intent.FleetFile
import io.knapweedferry.config.intent.Intent
import kotlinx.cli.ArgType
import kotlinx.cli.required
import java.nio.file.Path

/** `intent apply --file FILE`. */
internal class ApplyCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("apply", "Replace the whole configuration with the contents of a TOML file", select) {
    private val file by option(ArgType.String, "file", description = "TOML file with the whole desired configuration").required()

    override fun intent(): Intent {
        val state =
            FleetFile.read(Path.of(file)).getOrElse { problems ->
                throw UsageException(problems.joinToString("\n") { it.message })
            }
        return Intent.ApplyFleet(state, force)
    }
}
