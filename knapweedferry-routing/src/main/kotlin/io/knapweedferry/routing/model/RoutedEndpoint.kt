package io.knapweedferry.routing.model

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import java.net.InetSocketAddress

/** One endpoint as last described by the instance list. */
public data class RoutedEndpoint(
    val id: EndpointId,
    val service: ServiceName,
    val address: InetSocketAddress,
    val zone: AvailabilityZone,
    /** Number of requests that it runs concurrently. */
    val slots: Int,
    /** True once the endpoint has announced its shutdown; it gets no new requests from then on. */
    val isDraining: Boolean,
    /** Null for a plain service. */
    val stage: EndpointStage?,
    /** Start time; distinguishes incarnations, that is, successive processes with the same id. */
    val startedAtMs: Long,
) {
    internal val incarnation: EndpointIncarnation get() = EndpointIncarnation(id, startedAtMs)
}
