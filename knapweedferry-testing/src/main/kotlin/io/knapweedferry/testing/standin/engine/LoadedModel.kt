package io.knapweedferry.testing.standin.engine

/** Model, version, adapter and role that an engine serves. */
internal data class LoadedModel(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
)
