package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId

/** Settings of one sidecar. */
public data class SidecarSettings(
    val processId: ProcessId,
    val incarnation: Incarnation,
    /** Lifetime of a lease on which no stream was started. */
    val leaseMs: Long = 2_000,
    /** Time for which a stream runs without a reader, and for which a finished attempt is retained. */
    val graceMs: Long = 5_000,
    /** Retention of the outcome of a claim. */
    val outcomeRetentionMs: Long = 900_000,
    /** Timeout of one KV cache transfer. */
    val importTimeoutMs: Long = 1_000,
    /** Tries of a KV cache transfer; a retry reads the same exported cache. */
    val importAttempts: Int = 2,
    /** Time for which an exported KV cache counts as work in progress; engines evict it soon afterwards. */
    val exportRetentionMs: Long = 1_000,
    /** Timeout of engine calls other than prefill, KV cache transfer and generation. */
    val engineCallTimeoutMs: Long = 2_000,
)
