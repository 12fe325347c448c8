package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Order to load a model version, an adapter or to change role. */
@Serializable
public data class EngineOrder(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
    /** Log offset of the configuration that caused the order. */
    val fencing: Long,
    val incarnation: String,
)
