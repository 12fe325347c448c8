package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An organisation that sends requests. */
@Serializable
public data class LoadOrganisation(
    val name: String,
    @SerialName("api_key")
    val apiKey: String,
    /** Part of the requests that this organisation sends, relative to the others. */
    val weight: Double = 1.0,
)
