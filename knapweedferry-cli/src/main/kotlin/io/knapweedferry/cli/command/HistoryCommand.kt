package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.ChangeFormatter

/** `history`. */
internal class HistoryCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("history", "List the latest accepted and rejected confirmations, newest first", select) {
    override fun request() = OperatorRequest("history", render = ChangeFormatter::history)
}
