package io.knapweedferry.cli.command

import io.knapweedferry.cli.EntryApi
import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.PlacementFormatter
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** `explain placement --host HOST --path PATH`. */
internal class PlacementCommand(
    select: (CliCommand) -> Unit,
) : CliCommand("placement", "Show where an entry on the users' platform would send a request now, without sending it", select) {
    private val host by option(ArgType.String, "host", description = "Host of the request").required()
    private val path by option(PathArgType, "path", description = "Path of the request").required()
    private val organisation by option(ArgType.String, "organisation", description = "Name of the organisation that sends the request")
    private val promptTokens by option(
        TokenCountArgType,
        "prompt-tokens",
        description = "Length of the prompt (3200 if not set, for model services)",
    )
    private val outputTokens by option(
        TokenCountArgType,
        "output-tokens",
        description = "Maximum length of the output (800 if not set, for model services)",
    )

    override fun request() =
        OperatorRequest("explain", api = EntryApi.OPERATIONS, query = query(), render = PlacementFormatter::explanation)

    private fun query(): Map<String, String> {
        val parameters = mapOf("organisation" to organisation, "prompt-tokens" to promptTokens, "output-tokens" to outputTokens)
        val given = parameters.mapNotNull { (name, value) -> value?.let { name to "$it" } }
        return mapOf("host" to host, "path" to path) + given
    }
}
