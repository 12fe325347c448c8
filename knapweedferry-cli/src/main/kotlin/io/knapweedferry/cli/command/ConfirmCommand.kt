package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.ChangeText

/** `confirm ID`. */
internal class ConfirmCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("confirm", "Confirm a plan, which puts it in force if no other change came first", select) {
    private val id by argument(OffsetType, "id", "Id of the plan")

    override fun request() = OperatorRequest("plans/$id/confirm", body = "", render = ChangeText::confirmed)
}
