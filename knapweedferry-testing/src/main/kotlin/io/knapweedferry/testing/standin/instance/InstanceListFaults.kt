package io.knapweedferry.testing.standin.instance

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Switchable faults of the instance list. */
@Serializable
internal data class InstanceListFaults(
    val outage: Outage = Outage.NONE,
    /** Replaces the lag of the settings. */
    val lagMs: Long? = null,
)
