package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks for decode capacity. Answered by [Reserved] or [Refused], possibly after waiting in the queue of the endpoint. */
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
    /** Time left until the first token is due. */
    val firstTokenDueMs: Long,
    /** Time left until the whole request is given up. */
    val deadlineMs: Long,
) : Message
