package io.knapweedferry.session

import arrow.core.Either
import io.knapweedferry.api.message.Message

/** One request and the replies to it. */
public interface Exchange : AutoCloseable {
    /** Suspends until the next reply; returns null after the last one, or the error that ended the exchange. */
    public suspend fun receive(): Either<SessionError, Message?>

    /** Abandons the exchange; later replies are dropped and counted. */
    override fun close()
}
