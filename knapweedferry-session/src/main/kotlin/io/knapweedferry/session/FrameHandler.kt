package io.knapweedferry.session

/** Handles the frames of a connection and tracks its exchanges. */
internal interface FrameHandler {
    /** Number of exchanges in flight; heartbeats are sent only while it is positive. */
    val inFlight: Int

    /** Handles a frame without suspending; returns the reason if the session must be closed, else null. */
    fun onFrame(frame: Frame): CloseReason?

    /** Called once when the connection is closed. */
    fun onClosed(reason: CloseReason)
}
