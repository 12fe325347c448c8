package io.knapweedferry.routing.model

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import java.net.InetSocketAddress

/** One endpoint as the instance list last described it. */
public data class RoutedEndpoint(
    val id: EndpointId,
    val service: ServiceName,
    val address: InetSocketAddress,
    val zone: AvailabilityZone,
    /** Requests that it runs at once. */
    val slots: Int,
    /** True once it has announced that it leaves; it gets no new work then. */
    val isLeaving: Boolean,
    /** Null for a plain service. */
    val stage: EndpointStage?,
    /** Time of its start; tells two incarnations under one id apart. */
    val bornMs: Long,
)
