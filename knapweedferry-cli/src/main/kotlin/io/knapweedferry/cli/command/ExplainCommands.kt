package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.ChangeFormatter
import kotlinx.cli.ArgType

/** `explain change ID`, `explain request ID` and `explain placement`. */
internal class ExplainCommands :
    CommandGroup("explain", "Explain a change or a request from its log records, or where a request would go") {
    override fun createCommands(select: (CliCommand) -> Unit): List<CliCommand> =
        listOf(Change(select), Request(select), PlacementCommand(select))

    private class Change(
        select: (CliCommand) -> Unit,
    ) : CliCommand("change", "Show who proposed and confirmed a change, the confirmations rejected for it, and its steps", select) {
        private val id by argument(OffsetArgType, "id", "Id of the plan, or revision of the change")

        override fun request() = OperatorRequest("changes/$id/explain", render = ChangeFormatter::changeExplanation)
    }

    private class Request(
        select: (CliCommand) -> Unit,
    ) : CliCommand("request", "Show each decision about a request with its reason", select) {
        private val id by argument(ArgType.String, "id", "Id of the request, as in X-Request-Id")

        override fun request() = OperatorRequest("requests/$id/explain", render = ChangeFormatter::requestExplanation)
    }
}
