package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Resumes a token stream during the grace period after a lost session. Answered by [Tokens] from [fromPosition] and
 * [AnswerEnd], or by [Refused] if the sidecar has no such stream.
 */
@Serializable
@SerialName("attach")
public data class Attach(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val endpoint: EndpointId,
    val fromPosition: Int,
) : Message
