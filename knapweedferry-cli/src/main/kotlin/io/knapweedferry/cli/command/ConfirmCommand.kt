package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.ChangeFormatter

/** `confirm ID`. */
internal class ConfirmCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("confirm", "Confirm a plan; it is applied unless another change was accepted first", select) {
    private val id by argument(OffsetArgType, "id", "Id of the plan")

    override fun request() = OperatorRequest("plans/$id/confirm", body = "", render = ChangeFormatter::confirmation)
}
