package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Cancels everything that the sidecar holds for an attempt of a request. Answered by [Cancelled]. */
@Serializable
@SerialName("cancel")
public data class Cancel(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val attempt: Int,
    val endpoint: EndpointId,
) : Message
