package io.knapweedferry.testing.standin.service

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Switchable faults of a plain service. */
@Serializable
internal data class ServiceFaults(
    /** Fault before the operation has its effect. */
    val outage: Outage = Outage.NONE,
    /** Fault after the operation had its effect; [Outage.REFUSE] here is a service that lies about it. */
    val outageAfterEffect: Outage = Outage.NONE,
    /** Added to the duration of each operation. */
    val delayMs: Long = 0,
)
