package io.knapweedferry.routing.pipeline

/** Times and weights of forwarding. */
public data class ForwardingSettings(
    /** Retries per hundred requests that this entry may spend on a service; below the fleet's budget, as entries see unequal shares. */
    val retryPercent: Int = 15,
    /** Retries saved up per service; the fleet's slack divided by the entries that share it. */
    val retryBurst: Int = 3,
    /** Longest idle time of a kept connection for requests that must not repeat; the path may have lost its state meanwhile. */
    val nonRepeatableMaxIdleMs: Long = 250,
    /** A repeatable request without an answer is sent elsewhere after this multiple of its target latency. */
    val responseTimeoutFactor: Double = 1.0,
    /** A resumable stream without an event is resumed elsewhere after this multiple of its target pause. */
    val pauseTimeoutFactor: Double = 4.0,
    /** Connections that one request may fail to open before it is refused. */
    val maxConnectFailures: Int = 4,
)
