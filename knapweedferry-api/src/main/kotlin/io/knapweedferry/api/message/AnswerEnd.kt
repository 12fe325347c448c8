package io.knapweedferry.api.message

import io.knapweedferry.api.LoadDigest
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Proves the end of an answer by its token count and digest. */
@Serializable
@SerialName("answer_end")
public data class AnswerEnd(
    val requestId: RequestId,
    val attempt: Int,
    /** Tokens of the whole answer from position 0. */
    val tokenCount: Int,
    /** Digest of the token texts sent in this exchange, from the position that was asked for; see AnswerDigest. */
    val digest: Long,
    val finishReason: String,
    val load: LoadDigest,
) : Message
