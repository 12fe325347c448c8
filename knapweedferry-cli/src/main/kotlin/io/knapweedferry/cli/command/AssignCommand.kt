package io.knapweedferry.cli.command

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** `intent assign ENDPOINT --role ROLE`. */
internal class AssignCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("assign", "Assign an endpoint to a role; also ends draining", select) {
    private val endpoint by argument(ArgType.String, "endpoint", "Id of the endpoint")
    private val role by option(ArgType.Choice<EndpointRole>(), "role", description = "Role of the endpoint").required()
    private val model by option(ArgType.String, "model", description = "Model that the engine serves")
    private val adapter by option(ArgType.String, "adapter", description = "Adapter that the engine loads on top of the model")
    private val service by option(ArgType.String, "service", description = "Service that the endpoint offers, for role service")

    override fun intent(): Intent {
        val assignment = EndpointAssignment(role, model?.let { ModelName(it) }, adapter, service?.let { ServiceName(it) })
        return Intent.AssignEndpoint(EndpointId(endpoint), assignment, force)
    }
}
