package io.knapweedferry.entry.fleet

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.api.message.Message
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError

/** Sends [request], returns the first reply and closes the exchange. */
internal suspend fun SessionClient.call(
    address: String,
    request: Message,
): Either<SessionError, Message> =
    open(address, request).flatMap { exchange ->
        exchange.use { it.receive().flatMap { reply -> reply?.let { Either.Right(it) } ?: noReply() } }
    }

/** Error for an exchange that the sidecar closed without a reply. */
internal fun noReply(): Either<SessionError, Nothing> =
    Either.Left(SessionError.Lost("the sidecar closed the exchange without a reply; retry the request"))

/** Error for a reply of a type that is not valid for the request. */
internal fun unexpectedReply(reply: Message): Either<SessionError, Nothing> =
    Either.Left(SessionError.Lost("unexpected reply ${reply::class.simpleName}; check that all processes run the same version"))
