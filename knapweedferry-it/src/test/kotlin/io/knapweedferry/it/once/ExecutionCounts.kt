package io.knapweedferry.it.once

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Execution counts by idempotency key and request id, summed over all service stand-ins. */
internal class ExecutionCounts(
    private val byKey: Map<String, Int>,
    private val byRequestId: Map<String, Int>,
) {
    fun executionsOf(key: String): Int = byKey[key] ?: 0

    val total: Int get() = byKey.values.sum()

    /** Each contradiction between the responses that callers received and the executions that the services counted. */
    fun violations(responses: Map<String, Collection<TagStampResponse>>): List<String> =
        byKey.filterValues { it > 1 }.map { "key ${it.key} ran ${it.value} times" } +
            byRequestId.filterValues { it > 1 }.map { "request ${it.key} ran ${it.value} times" } +
            responses.flatMap { (key, all) -> violations(key, all) }

    private fun violations(
        key: String,
        responses: Collection<TagStampResponse>,
    ): List<String> {
        val completed = responses.filter { it.isCompleted }
        return listOfNotNull(
            "all responses report not_run, but the call ran".takeIf { responses.all(TagStampResponse::isNotRun) && executionsOf(key) != 0 },
            "a response is 200, but the call ran ${executionsOf(key)} times".takeIf { completed.isNotEmpty() && executionsOf(key) != 1 },
            "calls with the same key got different responses".takeIf { completed.distinctBy { it.body }.size > 1 },
            "the response belongs to a request with another body".takeIf { completed.any { it.field("bodyHash") != hashOf(key) } },
            "the response contains the id of a request with another key".takeIf {
                completed.any { response -> responses.none { it.requestId == response.field("requestId") } }
            },
        ).map { "key $key: $it; responses $responses" }
    }

    private fun hashOf(key: String) = TagStampClient.requestBody(key).hashCode().toString()

    companion object {
        fun read(deployment: LocalDeployment): ExecutionCounts {
            val statistics = deployment.plan.services.map { deployment.statistics(it.name) }
            return ExecutionCounts(
                sum(statistics.map { it.getValue("executionsByKey").jsonObject }),
                sum(statistics.map { it.getValue("executionsByRequestId").jsonObject }),
            )
        }

        private fun sum(counts: List<Map<String, kotlinx.serialization.json.JsonElement>>): Map<String, Int> =
            counts
                .flatMap { it.entries }
                .groupBy({ it.key }, { it.value.jsonPrimitive.int })
                .mapValues { it.value.sum() }
    }
}
