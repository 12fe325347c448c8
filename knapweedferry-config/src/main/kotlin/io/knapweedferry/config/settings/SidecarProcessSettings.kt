package io.knapweedferry.config.settings

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.InstanceId
import io.knapweedferry.api.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[process]` of a sidecar: identity of the process and the instance it runs on. */
@Serializable
public data class SidecarProcessSettings(
    @TextRule(TextFormat.NAME)
    val id: ProcessId,
    @TextRule(TextFormat.NAME)
    @SerialName("availability_zone")
    val availabilityZone: AvailabilityZone,
    @TextRule(TextFormat.NAME)
    val instance: InstanceId,
)
