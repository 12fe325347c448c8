package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Period in which one kind of work arrives at a multiple of its rate. */
@Serializable
public data class LoadFlood(
    val work: String,
    val multiplier: Double,
    @SerialName("start_ms")
    val startMs: Long,
    @SerialName("duration_ms")
    val durationMs: Long,
) {
    /** Whether the flood is active [atMs] milliseconds after the start of the run. */
    public fun covers(atMs: Long): Boolean = atMs in startMs until startMs + durationMs
}
