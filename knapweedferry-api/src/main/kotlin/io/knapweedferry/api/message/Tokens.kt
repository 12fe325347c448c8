package io.knapweedferry.api.message

import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Part of an answer; [position] is the index of the first of [texts] in the whole answer. */
@Serializable
@SerialName("tokens")
public data class Tokens(
    val requestId: RequestId,
    val attempt: Int,
    val position: Int,
    val texts: List<String>,
) : Message
