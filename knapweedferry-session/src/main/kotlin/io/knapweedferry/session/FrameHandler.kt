package io.knapweedferry.session

/** What stands behind a connection and keeps its exchanges. */
internal interface FrameHandler {
    /** Number of exchanges in flight; heartbeats flow only while there are any. */
    val inFlight: Int

    /** Takes a frame without suspending; returns a reason if the session must end. */
    fun onFrame(frame: Frame): CloseReason?

    /** The connection ended; called once. */
    fun onClosed(reason: CloseReason)
}
