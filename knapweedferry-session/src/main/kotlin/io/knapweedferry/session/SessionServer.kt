package io.knapweedferry.session

/** Accepts sessions and runs each exchange in its own coroutine. */
public interface SessionServer : AutoCloseable {
    /** Port that the server listens on; bound until [close]. */
    public val port: Int

    /** Stops accepting new sessions; open ones continue. */
    public fun stopAccepting()

    /**
     * Asks the peers to close their sessions and suspends until all exchanges have ended, their replies are written and the
     * sessions are closed, so that [close] loses no request or reply. Does not wait longer than the heartbeat timeout for a
     * peer to close its session.
     */
    public suspend fun drain()
}
