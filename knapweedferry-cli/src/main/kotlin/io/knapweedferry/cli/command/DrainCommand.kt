package io.knapweedferry.cli.command

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.intent.Intent
import kotlinx.cli.ArgType

/** `intent drain ENDPOINT`. */
internal class DrainCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("drain", "Let an endpoint finish its requests and send it no new ones", select) {
    private val endpoint by argument(ArgType.String, "endpoint", "Id of the endpoint")

    override fun intent() = Intent.DrainEndpoint(EndpointId(endpoint), force)
}
