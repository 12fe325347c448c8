package io.knapweedferry.telemetry

/** Outside system that a call went to. */
public enum class PlatformSystem {
    LOG,
    INSTANCE_LIST,
    WEIGHT_STORE,
    ENGINE,
    SERVICE,
}
