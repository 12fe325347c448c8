package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Body of `POST /cancel`. */
@Serializable
public data class CancelRequest(
    val id: EngineRequestId,
)
