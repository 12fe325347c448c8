package io.knapweedferry.session

import arrow.core.Either
import io.knapweedferry.api.message.Message

/** Opens exchanges with sidecars on pooled, authenticated sessions. */
public interface SessionClient : AutoCloseable {
    /** Sends [request] to the process at [address] (`ip:port`) on an existing or a new session. */
    public suspend fun open(
        address: String,
        request: Message,
    ): Either<SessionError, Exchange>
}
