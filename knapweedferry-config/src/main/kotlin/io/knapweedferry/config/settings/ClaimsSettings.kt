package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[claims]` of an entry: the claims that protect non-repeatable operations. */
@Serializable
public data class ClaimsSettings(
    /** Number of claim streams. All entries must use the same value, because it determines which stream holds a key. */
    @InRange(min = 1, max = 256)
    val partitions: Int = 8,
    /** Maximum time that a claim waits to be appended in a batch with others. */
    @InRange(min = 0, max = 1_000)
    @SerialName("batch_ms")
    val batchMs: Long = 5,
)
