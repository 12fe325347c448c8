package io.knapweedferry.config.stream

import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.Serializable

/** What an engine has loaded, as far as the stream tells. */
@Serializable
public data class Serving(
    val assignment: EndpointAssignment,
    val version: String,
)
