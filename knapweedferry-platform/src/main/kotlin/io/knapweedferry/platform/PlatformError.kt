package io.knapweedferry.platform

/** Why a call to an outside system did not give an answer. */
public sealed interface PlatformError {
    /** Text for a person, ending with the remedy. */
    public val message: String

    /** Nothing was sent, or the other side said that it did nothing. */
    public data class NotSent(
        override val message: String,
    ) : PlatformError

    /** The request was sent and the answer is missing, so it may have taken effect. */
    public data class NoAnswer(
        override val message: String,
    ) : PlatformError

    /** The other side answered and refused. */
    public data class Rejected(
        val status: Int,
        override val message: String,
    ) : PlatformError

    /** The answer could not be understood. */
    public data class BadAnswer(
        override val message: String,
    ) : PlatformError
}
