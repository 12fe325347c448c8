package io.knapweedferry.platform.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Load reported by an engine. The values lag behind the current state. */
@Serializable
public data class EngineLoad(
    val slots: Int,
    val usedSlots: Int,
    @SerialName("pieces")
    val kvBlocks: Int,
    @SerialName("usedPieces")
    val usedKvBlocks: Int,
    @SerialName("pieceTokens")
    val kvBlockTokens: Int,
    val model: String,
    val version: String,
    val role: String,
)
