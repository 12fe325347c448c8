package io.knapweedferry.config.intent

import kotlinx.serialization.Serializable

/** What carrying out a plan takes. */
@Serializable
public data class PlanCost(
    /** Weights that engines load from the weight store. */
    val loadBytes: Long = 0,
    /** Time to load them one batch after the other at the weight store's rate. */
    val loadSeconds: Long = 0,
)
