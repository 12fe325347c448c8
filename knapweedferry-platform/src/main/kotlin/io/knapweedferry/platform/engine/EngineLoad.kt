package io.knapweedferry.platform.engine

/** Load that an engine reports, with a lag. */
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
