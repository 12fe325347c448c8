package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.EngineOrder
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an engine did and holds, without lag. */
@Serializable
internal data class EngineLedger(
    val name: String,
    val load: EngineLoad,
    @SerialName("peakPieces")
    val peakKvBlocks: Int,
    val held: List<String>,
    val queuedPrefills: Int,
    val waitingStreams: Int,
    val adapter: String?,
    val highestFencing: Long,
    /** Latest accepted orders, oldest first. */
    val orders: List<EngineOrder>,
    val counters: EngineCounters,
)
