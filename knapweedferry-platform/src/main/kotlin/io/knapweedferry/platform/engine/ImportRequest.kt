package io.knapweedferry.platform.engine

import io.knapweedferry.api.KvSource
import kotlinx.serialization.Serializable

/** Body of `POST /import`. */
@Serializable
public data class ImportRequest(
    val id: EngineRequestId,
    val source: KvSource,
    val timeoutMs: Long,
)
