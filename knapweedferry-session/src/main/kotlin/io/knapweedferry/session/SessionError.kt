package io.knapweedferry.session

/** Why an exchange could not be opened or ended early. */
public sealed interface SessionError {
    /** Human-readable description that ends with a remedy. */
    public val message: String

    /** No session could be established, so the request was not sent. */
    public data class NotConnected(
        override val message: String,
    ) : SessionError

    /** Mutual authentication with the shared key failed, so the request was not sent. */
    public data class NotAuthenticated(
        override val message: String,
    ) : SessionError

    /** The exchange ended early; the request may have been sent. */
    public data class Lost(
        override val message: String,
    ) : SessionError

    /** The request exceeds the frame size limit, so it was not sent. */
    public data class TooLarge(
        override val message: String,
    ) : SessionError
}
