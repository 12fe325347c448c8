package io.knapweedferry.daemon.process

/** Lifecycle of a daemon, driven by [DaemonRunner]. */
internal interface DaemonProcess {
    /** Configured process id, for the log. */
    val name: String

    /** Longest time that a graceful shutdown may take. */
    val drainTimeoutMs: Long

    /** Number of requests in progress, logged at shutdown. */
    val inProgress: Int

    /** Starts listening. Throws an IOException or JavalinException if an address cannot be bound. */
    suspend fun start()

    /** Refuses new requests and waits for those in progress. Returns false after [timeoutMs]. */
    suspend fun drain(timeoutMs: Long): Boolean

    /** Closes all connections without waiting for requests in progress. */
    suspend fun stop()
}
