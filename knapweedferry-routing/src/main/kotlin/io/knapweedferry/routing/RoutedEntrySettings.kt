package io.knapweedferry.routing

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.routing.pipeline.ForwardingSettings
import java.net.InetSocketAddress

/** Settings of an entry that routes requests by host and path. */
public data class RoutedEntrySettings(
    val zone: AvailabilityZone,
    /** Address on which callers connect. */
    val callerAddress: InetSocketAddress,
    /** Address of the readiness check for the load balancer. */
    val readinessAddress: InetSocketAddress,
    val readinessPath: String,
    /** Address on which other entries fetch the state of this one. */
    val peerAddress: InetSocketAddress,
    val peerStatePath: String,
    /** Address of the metrics for operators. */
    val operationsAddress: InetSocketAddress,
    /** Maximum duration of a graceful shutdown. */
    val drainTimeoutMs: Long,
    /** Time for the load balancer to deregister this entry once it reports not ready; the listener stays open meanwhile. */
    val deregistrationDelayMs: Long,
    val forwarding: ForwardingSettings,
    /** Time after which a removed API key must not be accepted, whether or not the store responds; null if there is no such limit. */
    val revocationLimitMs: Long? = null,
    /** Delays and refuses model requests by cost to callers when engines lack capacity, instead of by class and priority. */
    val admitsByCost: Boolean = false,
)
