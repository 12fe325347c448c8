package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[audit]`: limit on the bytes per second that this process writes to the audit stream. */
@Serializable
public data class AuditSettings(
    @InRange(min = 0, max = 10_000_000)
    @SerialName("bytes_per_second")
    val bytesPerSecond: Long = 4_096,
)
