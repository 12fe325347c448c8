package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineLoad
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Counters and current state of an engine, without the reporting delay. */
@Serializable
internal data class EngineStatistics(
    val name: String,
    val load: EngineLoad,
    @SerialName("peakPieces")
    val peakKvBlocks: Int,
    /** Ids of the requests that the engine is processing or that occupy its memory. */
    val held: List<String>,
    val queuedPrefills: Int,
    val waitingStreams: Int,
    val adapter: String?,
    val highestFencing: Long,
    /** Latest accepted orders, oldest first. */
    val orders: List<EngineCommand>,
    val counters: EngineCounters,
)
