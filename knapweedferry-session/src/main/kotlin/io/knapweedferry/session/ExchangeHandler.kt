package io.knapweedferry.session

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.message.Message

/** Handles one exchange on the side that accepted the session. */
public fun interface ExchangeHandler {
    /** Handles [request]; the exchange ends when this returns. It is not cancelled when the session ends. */
    public suspend fun handle(
        peer: ProcessId,
        request: Message,
        replies: ReplySink,
    )
}
