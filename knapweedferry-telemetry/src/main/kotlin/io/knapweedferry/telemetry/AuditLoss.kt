package io.knapweedferry.telemetry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Records that a process dropped, and when. */
@Serializable
public data class AuditLoss(
    @SerialName("n")
    val records: Long,
    /** Start of the earliest dropped request, on the clock of the process. */
    @SerialName("f")
    val fromMs: Long,
    /** Time of the last drop. */
    @SerialName("u")
    val untilMs: Long,
) {
    /** Both losses as one. */
    internal operator fun plus(other: AuditLoss): AuditLoss =
        AuditLoss(records + other.records, minOf(fromMs, other.fromMs), maxOf(untilMs, other.untilMs))
}
