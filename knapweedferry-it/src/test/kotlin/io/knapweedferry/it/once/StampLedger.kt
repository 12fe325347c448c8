package io.knapweedferry.it.once

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Executions that the service stand-ins counted, over all of them. */
internal class StampLedger(
    private val byKey: Map<String, Int>,
    private val byRequestId: Map<String, Int>,
) {
    fun of(key: String): Int = byKey[key] ?: 0

    val total: Int get() = byKey.values.sum()

    /** Every contradiction between what the callers of all keys were told and what the services did. */
    fun violations(replies: Map<String, Collection<StampReply>>): List<String> =
        byKey.filterValues { it > 1 }.map { "key ${it.key} ran ${it.value} times" } +
            byRequestId.filterValues { it > 1 }.map { "request ${it.key} ran ${it.value} times" } +
            replies.flatMap { (key, all) -> violations(key, all) }

    private fun violations(
        key: String,
        replies: Collection<StampReply>,
    ): List<String> {
        val completed = replies.filter { it.isCompleted }
        return listOfNotNull(
            "all callers were told not_run, but it ran".takeIf { replies.all(StampReply::isNotRun) && of(key) != 0 },
            "completed, but it ran ${of(key)} times".takeIf { completed.isNotEmpty() && of(key) != 1 },
            "repeats got different answers".takeIf { completed.distinctBy { it.body }.size > 1 },
            "the answer is that of another body".takeIf { completed.any { it.field("bodyHash") != hashOf(key) } },
            "the answer is that of another request".takeIf {
                completed.any { answer ->
                    replies.none {
                        it.requestId ==
                            answer.field("requestId")
                    }
                }
            },
        ).map { "key $key: $it; replies $replies" }
    }

    private fun hashOf(key: String) = StampCalls.bodyOf(key).hashCode().toString()

    companion object {
        fun read(deployment: LocalDeployment): StampLedger {
            val ledgers = deployment.plan.services.map { deployment.ledger(it.name) }
            return StampLedger(
                sum(ledgers.map { it.getValue("executionsByKey").jsonObject }),
                sum(ledgers.map { it.getValue("executionsByRequestId").jsonObject }),
            )
        }

        private fun sum(counts: List<Map<String, kotlinx.serialization.json.JsonElement>>): Map<String, Int> =
            counts
                .flatMap { it.entries }
                .groupBy({ it.key }, { it.value.jsonPrimitive.int })
                .mapValues { it.value.sum() }
    }
}
