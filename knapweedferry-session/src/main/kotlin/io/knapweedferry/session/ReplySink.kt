package io.knapweedferry.session

import io.knapweedferry.api.message.Message

/** Sends the replies of one exchange. */
public interface ReplySink {
    /** Sends a reply; false if the exchange or its session has ended, after which no reply is sent. */
    public suspend fun send(message: Message): Boolean

    /** Suspends until no reply can reach the peer: the session ended or the peer abandoned the exchange. */
    public suspend fun awaitClosed()
}
