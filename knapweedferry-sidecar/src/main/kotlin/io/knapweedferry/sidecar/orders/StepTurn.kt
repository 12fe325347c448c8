package io.knapweedferry.sidecar.orders

/** Where the plan stands with respect to one endpoint. */
public enum class StepTurn {
    /** No plan in progress changes the endpoint; what the configuration says is in force. */
    NONE,

    /** Earlier steps of the plan are not reported applied yet, or one of them failed. */
    WAITING,

    /** The step of the endpoint is to be applied and reported now. */
    DUE,
}
