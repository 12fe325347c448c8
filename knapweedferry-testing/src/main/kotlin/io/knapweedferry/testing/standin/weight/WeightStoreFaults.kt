package io.knapweedferry.testing.standin.weight

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Injected faults of the weight store. */
@Serializable
internal data class WeightStoreFaults(
    val outage: Outage = Outage.NONE,
    /** Loads make no progress. */
    val stalled: Boolean = false,
)
