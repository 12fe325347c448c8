package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Instance that is listed from the start. */
@Serializable
public data class InstanceSettings(
    val instance: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    @SerialName("session_address")
    val sessionAddress: String,
    val engines: List<String> = emptyList(),
    val services: List<String> = emptyList(),
)
