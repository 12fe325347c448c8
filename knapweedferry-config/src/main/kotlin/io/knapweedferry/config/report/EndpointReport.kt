package io.knapweedferry.config.report

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.InstanceId
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.platform.instance.InstanceState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One endpoint that is listed by the platform, assigned by an operator, or both. */
@Serializable
public data class EndpointReport(
    val endpoint: EndpointId,
    val instance: InstanceId? = null,
    @SerialName("availability_zone")
    val availabilityZone: AvailabilityZone? = null,
    /** Null if the platform does not list the endpoint. */
    val listed: InstanceState? = null,
    /** What the operators have assigned. */
    val assigned: EndpointAssignment? = null,
    /** What requests are sent there for now; differs from [assigned] while a step is open. */
    val effective: EndpointAssignment? = null,
    /** Version of the model that the engine has loaded as far as the stream tells. */
    val version: String? = null,
    val step: StepReport? = null,
)
