package io.knapweedferry.config.stream

import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.Serializable

/** Assignment and model version that an engine has loaded according to the stream. */
@Serializable
public data class LoadedAssignment(
    val assignment: EndpointAssignment,
    val version: String,
)
