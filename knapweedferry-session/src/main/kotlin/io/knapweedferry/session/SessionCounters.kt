package io.knapweedferry.session

/** Counts events of sessions. Implementations must be thread-safe. */
public interface SessionCounters {
    /** A handshake succeeded. */
    public fun sessionOpened()

    /** A session or a connection attempt ended. */
    public fun sessionClosed(reason: CloseReason)

    /** A reply arrived for an exchange that has ended. */
    public fun replyDropped()

    /** An exchange failed because its reader did not keep up. */
    public fun readerTooSlow()

    /** A handler threw an exception or sent a reply that exceeds the frame size limit. */
    public fun handlerFailed()

    public companion object {
        /** Counts nothing. */
        public val NONE: SessionCounters =
            object : SessionCounters {
                override fun sessionOpened() = Unit

                override fun sessionClosed(reason: CloseReason) = Unit

                override fun replyDropped() = Unit

                override fun readerTooSlow() = Unit

                override fun handlerFailed() = Unit
            }
    }
}
