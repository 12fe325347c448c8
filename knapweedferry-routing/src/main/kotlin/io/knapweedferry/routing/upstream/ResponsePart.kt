package io.knapweedferry.routing.upstream

/** Part of the response body of an endpoint. */
internal sealed interface ResponsePart {
    class Data(
        val bytes: ByteArray,
    ) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The body was truncated or is malformed. */
    class Broken(
        val detail: String,
    ) : ResponsePart
}
