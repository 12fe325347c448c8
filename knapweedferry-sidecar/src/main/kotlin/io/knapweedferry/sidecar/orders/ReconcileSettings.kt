package io.knapweedferry.sidecar.orders

/** Settings of the reconciliation of endpoints with the configuration. */
public data class ReconcileSettings(
    /** Interval between reads of the configuration in memory. */
    val pollMs: Long = 250,
    /** Timeout of one model change order to an engine; loading weights takes minutes. */
    val orderTimeoutMs: Long = 900_000,
    /** Timeout of a configuration refresh. */
    val refreshTimeoutMs: Long = 5_000,
    /** Tries of an unanswered order before its step is reported as failed. */
    val orderAttempts: Int = 3,
    /** A delay of a periodic clock reading by more than this counts as a pause of the process. */
    val pauseThresholdMs: Long = 2_000,
)
