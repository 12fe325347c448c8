package io.knapweedferry.cli.command

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Rank
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.WorkPolicy
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** `intent work KIND --model MODEL --rank RANK`. */
internal class WorkCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("work", "Set the model and rank of a work kind", select) {
    private val work by argument(ArgType.String, "kind", "Work kind that requests specify")
    private val model by option(ArgType.String, "model", description = "Model that serves the work kind").required()
    private val rank by option(ArgType.Choice<Rank>(), "rank", description = "Scheduling rank").required()

    override fun intent() = Intent.SetWork(WorkKind(work), WorkPolicy(ModelName(model), rank), force)
}
