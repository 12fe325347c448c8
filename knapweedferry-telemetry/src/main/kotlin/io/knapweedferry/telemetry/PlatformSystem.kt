package io.knapweedferry.telemetry

/** External system that a call was sent to; value of the metric label `system`. */
public enum class PlatformSystem {
    LOG,
    INSTANCE_LIST,
    WEIGHT_STORE,
    ENGINE,
    SERVICE,
}
