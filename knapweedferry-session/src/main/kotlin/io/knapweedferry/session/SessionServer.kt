package io.knapweedferry.session

/** Accepts sessions and runs each exchange in its own coroutine. */
public interface SessionServer : AutoCloseable {
    /** Port that the server listens on; held as long as the process lives. */
    public val port: Int

    /** Stops accepting new sessions; open ones go on. */
    public fun stopAccepting()

    /**
     * Suspends until no exchange runs, the last replies are written and the peers have closed their sessions, so that [close]
     * cuts nothing off and crosses with no request. A peer that does not close its session is not waited for.
     */
    public suspend fun drain()
}
