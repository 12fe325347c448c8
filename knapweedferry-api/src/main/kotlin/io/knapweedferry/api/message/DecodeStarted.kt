package io.knapweedferry.api.message

import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reports that the KV cache was imported and the engine accepted the request. The exporting engine may free its copy. */
@Serializable
@SerialName("decode_started")
public data class DecodeStarted(
    val requestId: RequestId,
    val attempt: Int,
    val transferMs: Long,
) : Message
