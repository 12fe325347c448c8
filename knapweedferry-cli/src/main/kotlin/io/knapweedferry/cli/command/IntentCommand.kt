package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import io.knapweedferry.cli.text.PlanFormatter
import io.knapweedferry.config.intent.Intent
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json

/** Command that proposes a configuration change and prints the resulting plan. */
internal abstract class IntentCommand(
    name: String,
    description: String,
    select: (CliCommand) -> Unit,
) : CliCommand(name, description, select) {
    protected val force: Boolean by option(ArgType.Boolean, "force", "f", "Accept warnings that otherwise block the plan").default(false)

    /** Builds the proposed change from the parsed arguments. */
    abstract fun intent(): Intent

    final override fun request() =
        OperatorRequest("intents", Json.encodeToString(Intent.serializer(), intent()), render = PlanFormatter::proposal)
}
