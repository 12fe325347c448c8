package io.knapweedferry.routing.upstream

/** Part of the response body of an endpoint. */
internal sealed interface ResponsePart {
    class Data(
        val bytes: ByteArray,
    ) : ResponsePart

    /** The body is complete. */
    class End(
        /** False if only the end of the connection marked the end, which a crashed endpoint may have closed too soon. */
        val isDelimited: Boolean,
    ) : ResponsePart

    /** The body was truncated or is malformed. */
    class Broken(
        val detail: String,
        /** True if the endpoint or the network closed the connection. */
        val isDisconnect: Boolean = false,
    ) : ResponsePart
}
