package io.knapweedferry.daemon.process

/** A daemon as the runner sees it. */
internal interface DaemonProcess {
    /** Configured name. */
    val name: String

    /** Time that a graceful shutdown may take. */
    val drainTimeoutMs: Long

    /** Work in progress, for the message of a forced stop. */
    val inProgress: Int

    /** Starts listening. */
    suspend fun start()

    /** Refuses new work and waits for the work in progress; false if the time was too short. */
    suspend fun drain(timeoutMs: Long): Boolean

    /** Ends at once. */
    suspend fun stop()
}
