package io.knapweedferry.config.intent

import kotlinx.serialization.Serializable

/** Estimated cost of executing a plan. */
@Serializable
public data class PlanCost(
    /** Total size of the weights that engines load from the weight store. */
    val loadBytes: Long = 0,
    /** Time to load all weights sequentially at the rate of the weight store. */
    val loadSeconds: Long = 0,
)
