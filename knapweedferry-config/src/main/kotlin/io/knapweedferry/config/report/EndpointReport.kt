package io.knapweedferry.config.report

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.InstanceId
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.platform.instance.InstanceState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Endpoint that is in the platform's instance list, assigned by an operator, or both. */
@Serializable
public data class EndpointReport(
    val endpoint: EndpointId,
    val instance: InstanceId? = null,
    @SerialName("availability_zone")
    val availabilityZone: AvailabilityZone? = null,
    /** State in the platform's instance list; null if the endpoint is not listed. */
    val listed: InstanceState? = null,
    /** Assignment in the accepted configuration. */
    val assigned: EndpointAssignment? = null,
    /** Assignment currently used for routing; differs from [assigned] while a step is unfinished. */
    val effective: EndpointAssignment? = null,
    /** Model version that the engine has loaded according to the configuration stream. */
    val version: String? = null,
    val step: StepReport? = null,
)
