package io.knapweedferry.testing.standin.engine

/** What an engine serves. */
internal data class LoadedModel(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
)
