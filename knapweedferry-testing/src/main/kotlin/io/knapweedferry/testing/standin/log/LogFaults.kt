package io.knapweedferry.testing.standin.log

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Injected faults of the log. */
@Serializable
internal data class LogFaults(
    val outage: Outage = Outage.NONE,
    /** Latency added to each append and read. */
    val delayMs: Long = 0,
    /** Probability that the connection is closed without a response after an append took effect. */
    val lostAnswerProbability: Double = 0.0,
)
