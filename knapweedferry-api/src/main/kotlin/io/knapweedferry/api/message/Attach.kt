package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Takes over a stream in its grace period. Answered by [Tokens] from [fromPosition] and [AnswerEnd], or [Refused] if the
 * sidecar does not know the stream.
 */
@Serializable
@SerialName("attach")
public data class Attach(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val endpoint: EndpointId,
    val fromPosition: Int,
) : Message
