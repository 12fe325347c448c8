package io.knapweedferry.sidecar.orders

/** Settings of the orders to engines. */
public data class OrderSettings(
    /** Time between two looks at the configuration in memory. */
    val pollMs: Long = 250,
    /** Limit for one order; loading weights takes minutes. */
    val orderTimeoutMs: Long = 900_000,
    /** Limit for reading the configuration again. */
    val refreshTimeoutMs: Long = 5_000,
    /** Tries of an order that was not answered, before its step is reported failed. */
    val orderAttempts: Int = 3,
    /** A gap in the clock of this length counts as a pause of the process. */
    val pauseMs: Long = 2_000,
)
