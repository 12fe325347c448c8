package io.knapweedferry.routing.upstream

/** Piece of the body of an endpoint's answer. */
internal sealed interface ResponsePart {
    class Data(
        val bytes: ByteArray,
    ) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The body ended early or cannot be read. */
    class Broken(
        val detail: String,
    ) : ResponsePart
}
