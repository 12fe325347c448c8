package io.knapweedferry.api.message

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks the sidecar that a claim names what became of it. Answered by [ClaimStatus]. */
@Serializable
@SerialName("claim_query")
public data class ClaimQuery(
    val endpoint: EndpointId,
    val claim: ClaimRef,
) : Message
