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
    fun violations(replies: Map<String, Collection<TagStampResponse>>): List<String> =
        byKey.filterValues { it > 1 }.map { "key ${it.key} ran ${it.value} times" } +
            byRequestId.filterValues { it > 1 }.map { "request ${it.key} ran ${it.value} times" } +
            replies.flatMap { (key, all) -> violations(key, all) }

    private fun violations(
        key: String,
        replies: Collection<TagStampResponse>,
    ): List<String> {
        val completed = replies.filter { it.isCompleted }
        return listOfNotNull(
            "all callers were told not_run, but it ran".takeIf { replies.all(TagStampResponse::isNotRun) && executionsOf(key) != 0 },
            "completed, but it ran ${executionsOf(key)} times".takeIf { completed.isNotEmpty() && executionsOf(key) != 1 },
            "calls with the same key got different answers".takeIf { completed.distinctBy { it.body }.size > 1 },
            "the answer belongs to a request with another body".takeIf { completed.any { it.field("bodyHash") != hashOf(key) } },
            "the answer names the id of another request".takeIf {
                completed.any { answer -> replies.none { it.requestId == answer.field("requestId") } }
            },
        ).map { "key $key: $it; replies $replies" }
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
