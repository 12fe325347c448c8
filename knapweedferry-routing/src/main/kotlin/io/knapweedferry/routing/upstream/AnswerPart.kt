package io.knapweedferry.routing.upstream

/** Piece of the body of an endpoint's answer. */
internal sealed interface AnswerPart {
    class Data(
        val bytes: ByteArray,
    ) : AnswerPart

    /** The body is complete. */
    data object End : AnswerPart

    /** The body ended early or cannot be read. */
    class Broken(
        val detail: String,
    ) : AnswerPart
}
