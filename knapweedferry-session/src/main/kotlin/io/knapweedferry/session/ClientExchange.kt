package io.knapweedferry.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.message.Message
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicReference

/** Client side of an exchange, with a bounded queue of replies. */
internal class ClientExchange(
    private val abandon: (ClientExchange) -> Unit,
) : Exchange {
    private val replies = Channel<Message>(MAX_QUEUED_REPLIES)
    private val error = AtomicReference<SessionError>()

    /** Id in frames; unique within the session. */
    var id: Long = 0

    override suspend fun receive(): Either<SessionError, Message?> {
        val result = replies.receiveCatching()
        result.getOrNull()?.let { return it.right() }
        return error.get()?.left() ?: null.right()
    }

    override fun close() {
        fail(SessionError.Lost("the exchange was closed by its caller; open a new one"))
        abandon(this)
    }

    /** Queues a reply; false if the queue is full because the reader does not keep up. */
    fun tryEnqueue(message: Message): Boolean {
        val result = replies.trySend(message)
        return result.isSuccess || result.isClosed
    }

    /** Ends the exchange after the queued replies. */
    fun finish() {
        replies.close()
    }

    /** Ends the exchange with [reason] after the queued replies. */
    fun fail(reason: SessionError) {
        error.compareAndSet(null, reason)
        replies.close()
    }

    companion object {
        /** Covers a pause of the reader of several seconds at 25 ms between tokens. */
        const val MAX_QUEUED_REPLIES = 256
    }
}
