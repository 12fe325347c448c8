package io.knapweedferry.session

/** Accepts sessions and runs each exchange in its own coroutine. */
public interface SessionServer : AutoCloseable {
    /** Port that the server listens on; held as long as the process lives. */
    public val port: Int

    /** Stops accepting new sessions; open ones go on. */
    public fun stopAccepting()

    /** Suspends until no exchange runs and the last replies are written, so that [close] cuts nothing off. */
    public suspend fun drain()
}
