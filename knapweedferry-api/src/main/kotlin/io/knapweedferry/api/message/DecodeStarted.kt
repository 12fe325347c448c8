package io.knapweedferry.api.message

import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The cache is imported and the engine accepted the request; the exporter may drop its copy. */
@Serializable
@SerialName("decode_started")
public data class DecodeStarted(
    val requestId: RequestId,
    val attempt: Int,
    val transferMs: Long,
) : Message
