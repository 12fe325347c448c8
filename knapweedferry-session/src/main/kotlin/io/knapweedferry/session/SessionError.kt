package io.knapweedferry.session

/** Why an exchange ended without its last reply. */
public sealed interface SessionError {
    /** Text for a person, ending with the remedy. */
    public val message: String

    /** No connection could be made, so the request was not sent. */
    public data class NotConnected(
        override val message: String,
    ) : SessionError

    /** The peer could not prove the shared key, so the request was not sent. */
    public data class NotAuthenticated(
        override val message: String,
    ) : SessionError

    /** The session ended after the request may have been sent. */
    public data class Lost(
        override val message: String,
    ) : SessionError

    /** The request is larger than a frame may be, so it was not sent. */
    public data class TooLarge(
        override val message: String,
    ) : SessionError
}
