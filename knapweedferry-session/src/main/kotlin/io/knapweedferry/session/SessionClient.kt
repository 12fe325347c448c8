package io.knapweedferry.session

import arrow.core.Either
import io.knapweedferry.api.message.Message

/** Opens exchanges with sidecars over pooled, authenticated sessions. */
public interface SessionClient : AutoCloseable {
    /** Sends [request] to the process at [address] (ip:port), on an existing session or a new one. */
    public suspend fun open(
        address: String,
        request: Message,
    ): Either<SessionError, Exchange>
}
