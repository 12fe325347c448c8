package io.knapweedferry.api.message

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Marks the end of a response; token count and digest let the receiver verify that it is complete. */
@Serializable
@SerialName("answer_end")
public data class AnswerEnd(
    val requestId: RequestId,
    val attempt: Int,
    /** Number of tokens in the complete response. */
    val tokenCount: Int,
    /** Checksum over the tokens sent in this exchange, starting at the requested position; see AnswerDigest. */
    val digest: Long,
    val finishReason: String,
    val load: LoadSummary,
) : Message
