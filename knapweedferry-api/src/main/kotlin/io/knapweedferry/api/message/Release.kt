package io.knapweedferry.api.message

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LeaseId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Releases an unused lease. Answered by [Acknowledged]. */
@Serializable
@SerialName("release")
public data class Release(
    val endpoint: EndpointId,
    val lease: LeaseId,
) : Message
