package io.knapweedferry.config.settings

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[process]` of an entry: identity and location of the process. */
@Serializable
public data class ProcessSettings(
    @TextRule(TextFormat.NAME)
    val id: ProcessId,
    @TextRule(TextFormat.NAME)
    @SerialName("availability_zone")
    val availabilityZone: AvailabilityZone,
)
