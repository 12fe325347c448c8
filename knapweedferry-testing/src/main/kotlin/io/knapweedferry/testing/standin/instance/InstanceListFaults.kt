package io.knapweedferry.testing.standin.instance

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Injected faults of the instance list. */
@Serializable
internal data class InstanceListFaults(
    val outage: Outage = Outage.NONE,
    /** Overrides the lag in the settings. */
    val lagMs: Long? = null,
)
