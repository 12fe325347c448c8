package io.knapweedferry.routing

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.routing.pipeline.ForwardingSettings
import java.net.InetSocketAddress

/** Settings of an entry that routes requests by host and path. */
public data class RoutedEntrySettings(
    val zone: AvailabilityZone,
    /** Address for callers. */
    val callerAddress: InetSocketAddress,
    /** Address at which a load balancer asks whether this entry takes callers. */
    val readinessAddress: InetSocketAddress,
    val readinessPath: String,
    /** Address at which other entries ask for what this one knows. */
    val peerAddress: InetSocketAddress,
    val peerStatePath: String,
    /** Address of metrics and state for operators. */
    val operationsAddress: InetSocketAddress,
    /** Time that a graceful shutdown may take. */
    val drainTimeoutMs: Long,
    /** Time that a load balancer needs to notice that this entry is not ready. */
    val rotationMs: Long,
    val forwarding: ForwardingSettings,
)
