package io.knapweedferry.platform.instance

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.InstanceId
import kotlinx.serialization.Serializable

/** Instance in the platform's list. */
@Serializable
public data class ListedInstance(
    val instance: InstanceId,
    val availabilityZone: AvailabilityZone,
    /** Address at which the sidecar accepts sessions, as `ip:port`. */
    val sessionAddress: String,
    val state: InstanceState,
    val endpoints: List<ListedEndpoint>,
)
