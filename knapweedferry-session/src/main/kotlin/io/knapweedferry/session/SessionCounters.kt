package io.knapweedferry.session

/** Where sessions report what happens to them. Called from several threads. */
public interface SessionCounters {
    /** A handshake succeeded. */
    public fun sessionOpened()

    /** A session, or an attempt to make one, ended. */
    public fun sessionClosed(reason: CloseReason)

    /** A reply arrived for an exchange that is over. */
    public fun replyDropped()

    /** An exchange was failed because its reader did not keep up. */
    public fun readerTooSlow()

    /** A handler ended with an exception or sent a reply that no frame can carry. */
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
