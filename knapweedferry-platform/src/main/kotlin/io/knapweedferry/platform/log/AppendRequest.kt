package io.knapweedferry.platform.log

import kotlinx.serialization.Serializable

/** Body of `POST /streams/{stream}/records`. */
@Serializable
public data class AppendRequest(
    val payloads: List<String>,
)
