package io.knapweedferry.session

import arrow.core.Either
import io.knapweedferry.api.message.Message

/** One request and the replies to it. */
public interface Exchange : AutoCloseable {
    /** Next reply, null after the last, or why no further reply can come. */
    public suspend fun receive(): Either<SessionError, Message?>

    /** Gives up the exchange; later replies are dropped and counted. */
    override fun close()
}
