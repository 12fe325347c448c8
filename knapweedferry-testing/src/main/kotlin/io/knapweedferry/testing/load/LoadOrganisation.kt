package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Organisation that sends requests. */
@Serializable
public data class LoadOrganisation(
    val name: String,
    @SerialName("api_key")
    val apiKey: String,
    /** Share of the requests from this organisation, relative to the weights of the others. */
    val weight: Double = 1.0,
)
