package io.knapweedferry.testing.measure

/** Fault injected into one decode engine after another during a run. */
internal enum class MeasuredFault {
    /** Closes the connections to the sidecar. */
    CUT,

    /** Kills and restarts the sidecar. */
    KILL,
}
