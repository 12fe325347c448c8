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
 * Uses a lease: imports the KV cache and generates. Answered by [DecodeStarted], [Tokens] and [AnswerEnd], or by [Refused]
 * before submission, or by [AttemptFailed].
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
    /** Cache to import, or null if the endpoint computes the prompt itself. */
    val source: KvSource?,
    /** Position of the first token that the caller still needs. */
    val fromPosition: Int,
    val deadlineMs: Long,
) : Message
