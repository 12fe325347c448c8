package io.knapweedferry.testing.measure

/** What happens to one decode engine after another during a run. */
internal enum class MeasuredFault {
    /** The connections to its sidecar are closed. */
    CUT,

    /** Its sidecar is killed and started again. */
    KILL,
}
