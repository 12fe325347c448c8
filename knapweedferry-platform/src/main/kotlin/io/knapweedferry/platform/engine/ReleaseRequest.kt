package io.knapweedferry.platform.engine

import io.knapweedferry.api.KvHandle
import kotlinx.serialization.Serializable

/** Body of `POST /release`. */
@Serializable
public data class ReleaseRequest(
    val handle: KvHandle,
)
