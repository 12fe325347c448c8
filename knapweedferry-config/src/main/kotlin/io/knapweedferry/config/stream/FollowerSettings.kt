package io.knapweedferry.config.stream

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.StreamName

/** Timing and limits of a [ConfigFollower]. */
public data class FollowerSettings(
    val process: ProcessId,
    val stream: StreamName = StreamName("config"),
    /** Wait of one long poll. */
    val pollWaitMs: Long = 10_000,
    /** Time that one read or append may take in addition to the wait. */
    val timeoutMs: Long = 2_000,
    val minBackoffMs: Long = 100,
    /** Below the 18 s within which a change must be in force everywhere, also after an outage of the log. */
    val maxBackoffMs: Long = 4_000,
    /** Records per read; a record of a large fleet takes some 100 KB, and a process has 64 MB. */
    val pageRecords: Int = 32,
    val tickMs: Long = 250,
    /** A gap between two ticks beyond which the process counts as frozen; longer than a garbage collection. */
    val frozenAfterMs: Long = 2_000,
    /** False for processes that only read; then another process must append snapshots. */
    val appendsSnapshots: Boolean = true,
    /** Longest time between snapshots. */
    val snapshotIntervalMs: Long = 300_000,
    /** Most records between snapshots. */
    val snapshotRecords: Int = 200,
)
