package io.knapweedferry.testing.standin.service

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Injected faults of a plain service. */
@Serializable
internal data class ServiceFaults(
    /** Applied before the operation takes effect. */
    val outage: Outage = Outage.NONE,
    /** Applied after the operation took effect; [Outage.REFUSE] then falsely reports that it was not executed. */
    val outageAfterEffect: Outage = Outage.NONE,
    /** Latency added to each operation. */
    val delayMs: Long = 0,
)
