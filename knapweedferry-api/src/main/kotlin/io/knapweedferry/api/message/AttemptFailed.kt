package io.knapweedferry.api.message

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reports that an attempt failed after it may have reached the endpoint. */
@Serializable
@SerialName("attempt_failed")
public data class AttemptFailed(
    val requestId: RequestId,
    val attempt: Int,
    val reason: FailureReason,
    val detail: String,
    val load: LoadSummary? = null,
) : Message
