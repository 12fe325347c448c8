package io.knapweedferry.sidecar.orders

/** Reads the configuration anew. */
public fun interface ConfigRefresh {
    /** Reads from the log, or from a peer while the log is down; false if neither answered. */
    public suspend fun refresh(): Boolean
}
