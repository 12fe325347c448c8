package io.knapweedferry.cli.command

import io.knapweedferry.api.ModelName
import io.knapweedferry.config.intent.Intent
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** `intent model NAME --version VERSION`. */
internal class ModelCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("model", "Move all endpoints of a model to another version, in batches", select) {
    private val model by argument(ArgType.String, "name", "Name of the model")
    private val version by option(ArgType.String, "version", description = "Version to load").required()
    private val contextTokens by option(ArgType.Int, "context-tokens", description = "New context length in tokens; unchanged if not set")

    override fun intent() = Intent.SetModelVersion(ModelName(model), version, contextTokens, force)
}
