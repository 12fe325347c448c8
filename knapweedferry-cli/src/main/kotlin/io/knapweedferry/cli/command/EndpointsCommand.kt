package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.StatusFormatter

/** `endpoints`. */
internal class EndpointsCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("endpoints", "List the endpoints and what they serve", select) {
    override fun request() = OperatorRequest("endpoints", render = StatusFormatter::endpoints)
}
