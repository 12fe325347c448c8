package io.knapweedferry.routing.upstream

/** Reason why an attempt at an endpoint yielded no usable response. */
internal sealed interface AttemptFailure {
    val detail: String

    /** No byte of the request left this process, so the endpoint cannot have run it. */
    data class NotSent(
        override val detail: String,
    ) : AttemptFailure

    /** The request was sent, but no complete response arrived; it may have run. */
    data class NoResponse(
        override val detail: String,
        /** True if the endpoint or the network closed the connection. */
        val isDisconnect: Boolean = false,
    ) : AttemptFailure
}
