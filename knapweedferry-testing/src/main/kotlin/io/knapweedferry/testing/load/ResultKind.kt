package io.knapweedferry.testing.load

/** Outcome of a request. */
public enum class ResultKind {
    /** The complete answer was received. */
    COMPLETED,

    /** The system reported that the request was not run. */
    REFUSED,

    /** Any other outcome, including truncated answers and requests that timed out in the driver. */
    FAILED,
}
