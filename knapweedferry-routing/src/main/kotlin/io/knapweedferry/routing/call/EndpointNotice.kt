package io.knapweedferry.routing.call

/** What the head of a response says about its endpoint. */
public data class EndpointNotice(
    /** True if the endpoint is shutting down and takes no new requests. */
    val isLeaving: Boolean = false,
    /** Time for which the endpoint wants no requests from this instance; null if it did not ask for a pause. */
    val pauseMs: Long? = null,
    /** Text that asks for a pause but cannot be read, shortened for the log. */
    val invalidPause: String? = null,
) {
    public companion object {
        /** The response says nothing about its endpoint. */
        public val NONE: EndpointNotice = EndpointNotice()
    }
}
