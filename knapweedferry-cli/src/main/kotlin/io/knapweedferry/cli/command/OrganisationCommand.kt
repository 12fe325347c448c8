package io.knapweedferry.cli.command

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.OrganisationPolicy
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.required

/** `intent organisation ID`. */
internal class OrganisationCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("organisation", "Set the API keys of an organisation and the ranks and models it may use", select) {
    private val id by argument(ArgType.String, "id", "Id of the organisation")
    private val keys by option(ArgType.String, "key-sha256", description = "SHA-256 of an API key in hex; may be repeated").multiple()
    private val highestRank by option(ArgType.Choice<Rank>(), "highest-rank", description = "Most urgent rank allowed").required()
    private val models by option(ArgType.String, "model", description = "Allowed model; may be repeated, all models if not set").multiple()

    override fun intent(): Intent {
        val policy = OrganisationPolicy(keys, highestRank, models.map { ModelName(it) }.toSet())
        return Intent.SetOrganisation(OrganisationId(id), policy, force)
    }
}
