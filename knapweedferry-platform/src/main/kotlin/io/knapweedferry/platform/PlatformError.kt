package io.knapweedferry.platform

/** Failure of a call to an external system. */
public sealed interface PlatformError {
    /** Description for operators, including what to do. */
    public val message: String

    /** The request had no effect: it was not sent, or the other side confirmed that it was not executed. Safe to retry. */
    public data class NotSent(
        override val message: String,
    ) : PlatformError

    /** The request was sent but no usable response arrived, so it may have taken effect. */
    public data class NoResponse(
        override val message: String,
    ) : PlatformError

    /** The other side rejected the request with HTTP [status]. */
    public data class Rejected(
        val status: Int,
        override val message: String,
    ) : PlatformError

    /** The response could not be decoded or had an unexpected status. */
    public data class InvalidResponse(
        override val message: String,
    ) : PlatformError
}
