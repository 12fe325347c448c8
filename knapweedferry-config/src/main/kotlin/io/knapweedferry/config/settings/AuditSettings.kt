package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[audit]`: byte budget of the audit stream for this process. */
@Serializable
public data class AuditSettings(
    @InRange(min = 0, max = 10_000_000)
    @SerialName("bytes_per_second")
    val bytesPerSecond: Long = 4_096,
)
