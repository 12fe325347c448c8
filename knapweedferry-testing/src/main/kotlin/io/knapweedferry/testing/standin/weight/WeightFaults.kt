package io.knapweedferry.testing.standin.weight

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Switchable faults of the weight store. */
@Serializable
internal data class WeightFaults(
    val outage: Outage = Outage.NONE,
    /** Loads in progress make no headway. */
    val stalled: Boolean = false,
)
