package io.knapweedferry.sidecar.orders

/** State of the plan step of one endpoint. */
public enum class PlanStepState {
    /** No plan in progress changes the endpoint; the configuration is in effect. */
    NONE,

    /** An earlier step of the plan has not been reported as applied, or has failed. */
    WAITING,

    /** The step must be applied and reported now. */
    DUE,
}
