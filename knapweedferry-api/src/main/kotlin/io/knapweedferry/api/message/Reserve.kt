package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests decode capacity. Answered by [Reserved] or [Refused], possibly after waiting in the queue of the endpoint. */
@Serializable
@SerialName("reserve")
public data class Reserve(
    val requestId: RequestId,
    val attempt: Int,
    val endpoint: EndpointId,
    val organisation: OrganisationId,
    val model: ModelName,
    val rank: Rank,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    /** Remaining time until the first token is due. */
    val firstTokenDueMs: Long,
    /** Remaining time until the request is aborted. */
    val deadlineMs: Long,
) : Message
