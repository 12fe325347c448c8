package io.knapweedferry.api.message

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Refuses a request before anything was submitted to the endpoint. */
@Serializable
@SerialName("refused")
public data class Refused(
    val refusal: Refusal,
    val load: LoadSummary? = null,
) : Message
