package io.knapweedferry.api.message

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.LoadDigest
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An attempt that may have reached the endpoint ended without an answer. */
@Serializable
@SerialName("attempt_failed")
public data class AttemptFailed(
    val requestId: RequestId,
    val attempt: Int,
    val reason: FailureReason,
    val detail: String,
    val load: LoadDigest? = null,
) : Message
