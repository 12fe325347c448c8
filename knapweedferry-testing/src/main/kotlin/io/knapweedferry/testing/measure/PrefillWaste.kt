package io.knapweedferry.testing.measure

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Computes the share of wasted prefill from the statistics of the engines. */
internal class PrefillWaste(
    private val deployment: LocalDeployment,
) {
    /** Returns the share of prefilled tokens whose KV cache was never used. */
    fun share(): Double {
        // An export that is not imported counts as wasted only after its eviction.
        Thread.sleep(deployment.plan.enginePerformance.exportTtlMs * 2)
        val counters = deployment.plan.engines.map { deployment.statistics(it.name).getValue("counters").jsonObject }
        val prefilled = counters.sumOf { it.getValue("prefilledTokens").jsonPrimitive.long }
        val wasted = counters.sumOf { it.getValue("wastedPrefillTokens").jsonPrimitive.long }
        return if (prefilled == 0L) 0.0 else wasted.toDouble() / prefilled
    }
}
