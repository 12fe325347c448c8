package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.StatusText

/** `status`. */
internal class StatusCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("status", "Show the configuration in force and the steps of the newest change", select) {
    override fun request() = OperatorRequest("status", render = StatusText::status)
}
