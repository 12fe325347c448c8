package io.knapweedferry.entry.fleet

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.api.message.Message
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError

/** Sends [request] and returns the first reply. */
internal suspend fun SessionClient.ask(
    address: String,
    request: Message,
): Either<SessionError, Message> =
    open(address, request).flatMap { exchange ->
        exchange.use { it.receive().flatMap { reply -> reply?.let { Either.Right(it) } ?: endedEarly() } }
    }

/** Error for an exchange that ended without a reply. */
internal fun endedEarly(): Either<SessionError, Nothing> =
    Either.Left(SessionError.Lost("the sidecar ended the exchange without a reply; retry the request"))

/** Error for a reply of a type that the request does not allow. */
internal fun unexpectedReply(reply: Message): Either<SessionError, Nothing> =
    Either.Left(SessionError.Lost("unexpected reply ${reply::class.simpleName}; check that all processes run the same version"))
