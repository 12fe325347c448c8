package io.knapweedferry.testing.standin.log

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Switchable faults of the log. */
@Serializable
internal data class LogFaults(
    val outage: Outage = Outage.NONE,
    /** Added to each append and read. */
    val delayMs: Long = 0,
    /** Probability that the answer to an append is lost after the append took effect. */
    val lostAnswerProbability: Double = 0.0,
)
