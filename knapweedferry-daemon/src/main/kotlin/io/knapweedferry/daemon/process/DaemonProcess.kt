package io.knapweedferry.daemon.process

/** Lifecycle of a daemon, driven by [DaemonRunner]. */
internal interface DaemonProcess {
    /** Process id from the settings. */
    val processId: String

    /** Time limit of [drain]. */
    val drainTimeoutMs: Long

    /** Number of requests that a shutdown waits for, written to the log. */
    val requestsInFlight: Int

    /** Starts listening. Throws an IOException or JavalinException if an address cannot be bound. */
    suspend fun start()

    /** Refuses new requests and waits for those in flight. Returns false if some are still in flight after [timeoutMs]. */
    suspend fun drain(timeoutMs: Long): Boolean

    /** Closes all connections without waiting for requests in flight. */
    suspend fun stop()
}
