package io.knapweedferry.cli.command

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.intent.Intent
import kotlinx.cli.ArgType

/** `intent remove ENDPOINT`. */
internal class RemoveCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("remove", "Remove an endpoint from the configuration", select) {
    private val endpoint by argument(ArgType.String, "endpoint", "Id of the endpoint")

    override fun intent() = Intent.RemoveEndpoint(EndpointId(endpoint), force)
}
