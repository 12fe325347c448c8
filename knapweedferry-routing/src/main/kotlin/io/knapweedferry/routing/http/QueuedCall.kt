package io.knapweedferry.routing.http

import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.pipeline.LocalAnswer

/** Request that waits for its turn on its connection. */
internal sealed interface QueuedCall {
    class Valid(
        val call: CallRequest,
        val incoming: IncomingCall,
        val keepsAlive: Boolean,
    ) : QueuedCall

    /** Refused while it was read; the connection ends after the answer, because what follows cannot be told apart from it. */
    class Refused(
        val answer: LocalAnswer,
        val detail: String,
    ) : QueuedCall
}
