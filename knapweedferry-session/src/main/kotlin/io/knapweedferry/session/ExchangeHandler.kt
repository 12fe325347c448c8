package io.knapweedferry.session

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.message.Message

/** Handles exchanges on the server side of a session. */
public fun interface ExchangeHandler {
    /** Handles [request] of [peer]; the exchange ends on return. Not cancelled when the session ends. */
    public suspend fun handle(
        peer: ProcessId,
        request: Message,
        replies: ReplySink,
    )
}
