package io.knapweedferry.routing.http

import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.pipeline.LocalResponse

/** Request that is queued on its connection behind earlier ones. */
internal sealed interface QueuedCall {
    class Valid(
        val call: CallRequest,
        val incoming: IncomingCall,
        val keepsAlive: Boolean,
    ) : QueuedCall

    /** Request that was refused while it was received. The connection is closed afterwards, because the end of the request is unknown. */
    class Refused(
        val response: LocalResponse,
        val detail: String,
    ) : QueuedCall
}
