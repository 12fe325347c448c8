package io.knapweedferry.session

/** What stands behind a connection and keeps its exchanges. */
internal interface FrameTarget {
    /** Number of exchanges in flight; heartbeats flow only while there are any. */
    val inFlight: Int

    /** Takes a frame without suspending; returns a reason if the session must end. */
    fun accept(frame: Frame): CloseReason?

    /** The connection ended; called once. */
    fun ended(reason: CloseReason)
}
