package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.PlanFormatter

/** `plan ...`: the commands that inspect plans. */
internal class PlanCommands : CommandGroup("plan", "Inspect plans") {
    override fun createCommands(select: (CliCommand) -> Unit): List<CliCommand> = listOf(Show(select))

    private class Show(
        select: (CliCommand) -> Unit,
    ) : CliCommand("show", "Show a plan with its changes, steps, cost and warnings", select) {
        private val id by argument(OffsetArgType, "id", "Id of the plan")

        override fun request() = OperatorRequest("plans/$id", render = PlanFormatter::plan)
    }
}
