package io.knapweedferry.platform.instance

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.InstanceId
import kotlinx.serialization.Serializable

/** An instance as the platform lists it. */
@Serializable
public data class ListedInstance(
    val instance: InstanceId,
    val availabilityZone: AvailabilityZone,
    /** Address of the sidecar's sessions, as ip:port. */
    val sessionAddress: String,
    val state: InstanceState,
    val endpoints: List<ListedEndpoint>,
)
