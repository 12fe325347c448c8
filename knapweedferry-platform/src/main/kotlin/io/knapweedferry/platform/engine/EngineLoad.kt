package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Load reported by an engine. The values lag behind the current state. */
@Serializable
public data class EngineLoad(
    val slots: Int,
    val usedSlots: Int,
    val pieces: Int,
    val usedPieces: Int,
    val pieceTokens: Int,
    val model: String,
    val version: String,
    val role: String,
)
