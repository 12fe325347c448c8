package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Control command that loads a model version or an adapter, or changes the role of an engine. */
@Serializable
public data class EngineCommand(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
    /** Fencing token: the log offset of the configuration revision that caused the command. */
    val fencing: Long,
    val incarnation: String,
)
