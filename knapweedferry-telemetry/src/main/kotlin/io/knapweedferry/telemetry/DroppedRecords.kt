package io.knapweedferry.telemetry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Number of audit records that a process dropped, and the time range that they cover. */
@Serializable
public data class DroppedRecords(
    @SerialName("n")
    val count: Long,
    /** Start of the earliest request that is affected, on the clock of the process. */
    @SerialName("f")
    val fromMs: Long,
    /** Time of the last drop, on the clock of the process. */
    @SerialName("u")
    val untilMs: Long,
) {
    /** Sums the counts and spans both time ranges. */
    internal operator fun plus(other: DroppedRecords): DroppedRecords =
        DroppedRecords(count + other.count, minOf(fromMs, other.fromMs), maxOf(untilMs, other.untilMs))
}
