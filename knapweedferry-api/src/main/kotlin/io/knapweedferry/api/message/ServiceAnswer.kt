package io.knapweedferry.api.message

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Complete response of a service. */
@Serializable
@SerialName("service_answer")
public data class ServiceAnswer(
    val requestId: RequestId,
    val attempt: Int,
    val status: Int,
    val contentType: String,
    val body: String,
    val digest: Long,
    val load: LoadSummary? = null,
) : Message
