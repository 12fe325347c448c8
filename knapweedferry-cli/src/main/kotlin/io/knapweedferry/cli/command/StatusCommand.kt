package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.StatusFormatter

/** `status`. */
internal class StatusCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("status", "Show the active configuration and the steps of the latest change", select) {
    override fun request() = OperatorRequest("status", render = StatusFormatter::status)
}
