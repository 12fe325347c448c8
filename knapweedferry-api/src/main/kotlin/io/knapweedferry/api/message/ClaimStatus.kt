package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to [ClaimQuery]. */
@Serializable
@SerialName("claim_status")
public data class ClaimStatus(
    val state: ClaimState,
    /** Stored response if [state] is [ClaimState.DONE]. */
    val answer: ServiceAnswer? = null,
) : Message
