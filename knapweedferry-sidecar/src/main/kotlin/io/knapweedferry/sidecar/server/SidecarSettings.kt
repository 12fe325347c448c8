package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId

/** Settings of one sidecar. */
public data class SidecarSettings(
    val processId: ProcessId,
    val incarnation: Incarnation,
    /** Time in which a lease must be used. */
    val leaseMs: Long = 2_000,
    /** Time for which a stream without a reader goes on, and for which a finished one is kept. */
    val graceMs: Long = 5_000,
    /** Time for which the outcome of a claim is kept. */
    val outcomeKeepMs: Long = 900_000,
    /** Limit for one transfer of a KV cache. */
    val importTimeoutMs: Long = 1_000,
    /** A stalled transfer is tried again from the cache that is still exported. */
    val importAttempts: Int = 2,
    /** Time for which an exported cache counts as work in progress; engines evict it soon after. */
    val exportKeepMs: Long = 1_000,
    /** Limit for calls to an engine that only control it. */
    val engineCallTimeoutMs: Long = 2_000,
)
