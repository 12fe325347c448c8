package io.knapweedferry.testing.measure

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Reads from the ledgers of the engines how much prefill was for nothing. */
internal class PrefillWaste(
    private val deployment: LocalDeployment,
) {
    /** Tokens whose cache was never imported, over all prefilled tokens. */
    fun share(): Double {
        // An export that nobody imports counts as wasted only once it is evicted.
        Thread.sleep(deployment.plan.timeScale.exportTtlMs * 2)
        val counters = deployment.plan.engines.map { deployment.ledger(it.name).getValue("counters").jsonObject }
        val prefilled = counters.sumOf { it.getValue("prefilledTokens").jsonPrimitive.long }
        val wasted = counters.sumOf { it.getValue("wastedPrefillTokens").jsonPrimitive.long }
        return if (prefilled == 0L) 0.0 else wasted.toDouble() / prefilled
    }
}
