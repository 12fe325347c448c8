package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the KV cache of a prompt from a prefill endpoint. Answered by [Prefilled], [Refused] or [AttemptFailed]. */
@Serializable
@SerialName("prefill")
public data class Prefill(
    val requestId: RequestId,
    val attempt: Int,
    val endpoint: EndpointId,
    val organisation: OrganisationId,
    val model: ModelName,
    val rank: Rank,
    val prompt: String,
    val promptTokens: Int,
    val firstTokenDueMs: Long,
    val deadlineMs: Long,
) : Message
