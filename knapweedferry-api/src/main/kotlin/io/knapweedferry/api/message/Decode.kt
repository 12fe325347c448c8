package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.KvSource
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Uses a lease to import the KV cache and to generate tokens. Answered by [DecodeStarted], [Tokens] and [AnswerEnd], by
 * [Refused] if nothing was submitted to the endpoint, or by [AttemptFailed].
 */
@Serializable
@SerialName("decode")
public data class Decode(
    val requestId: RequestId,
    val attempt: Int,
    val endpoint: EndpointId,
    val organisation: OrganisationId,
    val model: ModelName,
    val rank: Rank,
    val lease: LeaseId,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    /** KV cache to import, or null if the endpoint computes the prefill itself. */
    val source: KvSource?,
    /** Index of the first token to send; earlier tokens were already delivered to the caller. */
    val fromPosition: Int,
    val deadlineMs: Long,
) : Message
