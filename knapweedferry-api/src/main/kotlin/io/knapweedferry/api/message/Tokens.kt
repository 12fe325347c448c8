package io.knapweedferry.api.message

import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Part of a response. [position] is the index of the first token of [texts] in the complete response. */
@Serializable
@SerialName("tokens")
public data class Tokens(
    val requestId: RequestId,
    val attempt: Int,
    val position: Int,
    val texts: List<String>,
) : Message
