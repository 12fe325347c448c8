package io.knapweedferry.testing.load

/** How a request ended. */
public enum class ResultKind {
    /** The whole answer arrived. */
    COMPLETED,

    /** The system says that it did not run. */
    REFUSED,

    /** Anything else, also answers that broke off and requests that the driver gave up. */
    FAILED,
}
