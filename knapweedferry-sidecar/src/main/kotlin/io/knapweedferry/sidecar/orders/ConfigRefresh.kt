package io.knapweedferry.sidecar.orders

/** Refreshes the configuration in memory. */
public fun interface ConfigRefresh {
    /** Reads from the log, or from a peer if the log is unavailable; false if neither answered. */
    public suspend fun refresh(): Boolean
}
