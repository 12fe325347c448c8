package io.knapweedferry.config.stream

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.StreamName

/** Timing and limits of a [ConfigFollower]. */
public data class FollowerSettings(
    val process: ProcessId,
    val stream: StreamName = StreamName("config"),
    /** Maximum wait of a long poll. */
    val pollWaitMs: Long = 10_000,
    /** Timeout of a read or append, not counting the long poll. */
    val timeoutMs: Long = 2_000,
    val minBackoffMs: Long = 100,
    /** Kept below the 18 s within which a change must reach every process, including after a log outage. */
    val maxBackoffMs: Long = 4_000,
    /** Maximum records per read. A record of a large fleet is about 100 KB, and the process has 64 MB of memory. */
    val pageRecords: Int = 32,
    /** Interval at which the process checks whether it was paused. */
    val pauseCheckIntervalMs: Long = 250,
    /** Minimum gap between two checks that counts as a process pause; longer than a garbage collection. */
    val pauseThresholdMs: Long = 2_000,
    /** False for read-only processes; another process then has to append snapshots. */
    val appendsSnapshots: Boolean = true,
    /** Maximum time between snapshots. */
    val snapshotIntervalMs: Long = 300_000,
    /** Maximum number of records between snapshots. */
    val snapshotIntervalRecords: Int = 200,
)
