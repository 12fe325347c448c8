package io.knapweedferry.session

import io.knapweedferry.api.message.Message

/** Where a handler sends replies of one exchange. */
public interface ReplySink {
    /** Sends a reply; false if the session is gone, which also holds for all later replies. */
    public suspend fun send(message: Message): Boolean

    /** Suspends until no reply can reach the peer any more: the session ended, or the peer gave up the exchange. */
    public suspend fun awaitClosed()
}
