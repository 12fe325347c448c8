package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[claims]` of an entry. */
@Serializable
public data class ClaimsSettings(
    /** Number of claim streams; must be the same at every entry, because it decides which stream holds a key. */
    @InRange(min = 1, max = 256)
    val partitions: Int = 8,
    /** Longest time that a claim waits for others to share its append. */
    @InRange(min = 0, max = 1_000)
    @SerialName("batch_ms")
    val batchMs: Long = 5,
)
