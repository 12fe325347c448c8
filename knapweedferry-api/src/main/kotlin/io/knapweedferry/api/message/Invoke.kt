package io.knapweedferry.api.message

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Calls an operation of a service. Answered by [ServiceAnswer], [Refused] or [AttemptFailed]. */
@Serializable
@SerialName("invoke")
public data class Invoke(
    val requestId: RequestId,
    val attempt: Int,
    val endpoint: EndpointId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val operation: OperationName,
    val rank: Rank,
    val body: String,
    val deadlineMs: Long,
    /** Set if and only if the operation is not repeatable. */
    val claim: ClaimRef?,
) : Message
