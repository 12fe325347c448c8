package io.knapweedferry.api.message

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the state of a claim from the sidecar that may dispatch the operation. Answered by [ClaimStatus]. */
@Serializable
@SerialName("claim_query")
public data class ClaimQuery(
    val endpoint: EndpointId,
    val claim: ClaimRef,
) : Message
