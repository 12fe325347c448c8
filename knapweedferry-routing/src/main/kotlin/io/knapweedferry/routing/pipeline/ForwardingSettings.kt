package io.knapweedferry.routing.pipeline

/** Retry budget and timeouts of forwarding. */
public data class ForwardingSettings(
    /** Retries per 100 requests of a service; below the fleet-wide budget, because entries receive unequal shares of the traffic. */
    val retryPercent: Int = 15,
    /** Retries that may accumulate per service: the fleet-wide burst divided by the number of entries. */
    val retryBurst: Int = 3,
    /** Maximum idle time of a pooled connection for a non-repeatable request; the network path may have dropped an older one. */
    val nonRepeatableMaxIdleMs: Long = 250,
    /** A repeatable request is sent to another endpoint after this multiple of the route's target latency. */
    val responseTimeoutFactor: Double = 1.0,
    /** A resumable stream is resumed at another engine after a gap of this multiple of the route's target gap between events. */
    val pauseTimeoutFactor: Double = 4.0,
    /** Longest wait for a reservation at the engine that takes over from an attempt without progress. */
    val replacementWaitMs: Long = 300,
    /** Failed connection attempts after which a request is refused. */
    val maxConnectFailures: Int = 4,
)
