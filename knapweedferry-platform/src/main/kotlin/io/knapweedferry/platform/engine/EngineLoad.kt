package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Load that an engine reports, with a lag. */
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
