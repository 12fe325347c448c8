package io.knapweedferry.config.intent

import io.knapweedferry.config.settings.TextFormat
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole

/** Validates a configuration: every referenced element must exist, and every value must be in its allowed range. */
internal class ConfigValidator(
    private val state: ConfigState,
) {
    /** Returns the first problem, or null if the configuration is valid. */
    fun firstProblem(): IntentProblem? =
        modelProblem() ?: serviceProblem() ?: workProblem() ?: rankProblem() ?: organisationProblem() ?: endpointProblem()

    private fun modelProblem(): IntentProblem? =
        state.models.firstProblemOf { (name, policy) ->
            when {
                !TextFormat.NAME.accepts(name.value) ->
                    invalid("the model name \"${name.value}\" is not valid; use ${TextFormat.NAME.description}")

                policy.version.isBlank() -> invalid("model ${name.value} has no version; specify the version to load")

                policy.contextTokens <= 0 -> invalid("model ${name.value} has no context length; set it to the maximum number of tokens")

                else -> null
            }
        }

    private fun serviceProblem(): IntentProblem? =
        state.services.firstProblemOf { (name, policy) ->
            when {
                !TextFormat.NAME.accepts(name.value) ->
                    invalid("the service name \"${name.value}\" is not valid; use ${TextFormat.NAME.description}")

                policy.operations.isEmpty() -> invalid("service ${name.value} has no operations; specify at least one")

                policy.operations.values.any { it.timeoutMs <= 0 } ->
                    invalid("service ${name.value} has an operation with a timeout of 0 or less; set it above 0")

                else -> null
            }
        }

    private fun workProblem(): IntentProblem? =
        state.work.firstProblemOf { (name, policy) ->
            if (policy.model in state.models) {
                null
            } else {
                unknownModel("work ${name.value} uses model ${policy.model.value}, which is not configured")
            }
        }

    private fun rankProblem(): IntentProblem? {
        val invalidRank =
            state.ranks.firstProblemOf { (rank, policy) ->
                val times = listOf(policy.firstTokenTargetMs, policy.interTokenTargetMs, policy.deadlineMs)
                when {
                    times.any { it <= 0 } -> invalid("rank $rank has a target or deadline of 0 or less; set it above 0")
                    policy.floorPercent !in 0..MAX_PERCENT -> invalid("rank $rank has a floor out of range; set it from 0 to 100")
                    else -> null
                }
            }
        if (invalidRank != null) return invalidRank
        val sum = state.ranks.values.sumOf { it.floorPercent }
        return if (sum <= MAX_PERCENT) null else invalid("the floors of all ranks add up to $sum percent; lower them to 100 or less")
    }

    private fun organisationProblem(): IntentProblem? =
        state.organisations.firstProblemOf { (name, policy) ->
            val unknown = policy.models.firstOrNull { it !in state.models }
            when {
                policy.apiKeySha256.any { !TextFormat.SHA256.accepts(it) } ->
                    invalid("organisation ${name.value} has an invalid key hash; use ${TextFormat.SHA256.description}")

                unknown != null -> unknownModel("organisation ${name.value} may use model ${unknown.value}, which is not configured")

                else -> null
            }
        }

    private fun endpointProblem(): IntentProblem? =
        state.endpoints.firstProblemOf { (id, assignment) ->
            val name = id.value
            when {
                !TextFormat.NAME.accepts(name) -> invalid("the endpoint id \"$name\" is not valid; use ${TextFormat.NAME.description}")
                assignment.role == EndpointRole.SERVICE -> serviceEndpointProblem(name, assignment)
                else -> engineEndpointProblem(name, assignment)
            }
        }

    private fun serviceEndpointProblem(
        name: String,
        assignment: EndpointAssignment,
    ): IntentProblem? {
        val service = assignment.service ?: return invalid("endpoint $name has role SERVICE but no service; specify the service")
        if (assignment.model != null) return invalid("endpoint $name has role SERVICE and a model; remove the model")
        if (service in state.services) return null
        val text = "endpoint $name serves ${service.value}, which is not configured; configure the service first"
        return IntentProblem(IntentProblemCode.UNKNOWN_SERVICE, text)
    }

    private fun engineEndpointProblem(
        name: String,
        assignment: EndpointAssignment,
    ): IntentProblem? {
        val model = assignment.model ?: return invalid("endpoint $name has role ${assignment.role} but no model; specify the model")
        if (assignment.service != null) return invalid("endpoint $name has role ${assignment.role} and a service; remove the service")
        return if (model in state.models) null else unknownModel("endpoint $name serves model ${model.value}, which is not configured")
    }

    private fun unknownModel(text: String): IntentProblem =
        IntentProblem(IntentProblemCode.UNKNOWN_MODEL, "$text; configure the model first or use another")

    private fun invalid(text: String): IntentProblem = IntentProblem(IntentProblemCode.INVALID_VALUE, text)

    private fun <K, V> Map<K, V>.firstProblemOf(check: (Map.Entry<K, V>) -> IntentProblem?): IntentProblem? =
        entries.firstNotNullOfOrNull(check)

    private companion object {
        const val MAX_PERCENT = 100
    }
}
