package io.knapweedferry.config.stream

import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlin.math.min

/**
 * Decides when the stream needs a new snapshot. The platform does not expose its retention time, so it is estimated from
 * the age of records when they are removed. A snapshot is due after a third of the retention time, which leaves time for two
 * more attempts.
 */
internal class SnapshotSchedule(
    private val settings: FollowerSettings,
) {
    private val trackedRecords = ArrayDeque<LogRecord>()
    private var latestSnapshot: LogRecord? = null
    private var recordsSinceSnapshot = 0
    private var retentionMs = Long.MAX_VALUE

    /** Tracks a record that was read from the stream. */
    fun recordRead(
        record: LogRecord,
        isSnapshot: Boolean,
    ) {
        trackedRecords.addLast(record.copy(payload = ""))
        if (trackedRecords.size > MAX_TRACKED_RECORDS) trackedRecords.removeFirst()
        recordsSinceSnapshot = if (isSnapshot) 0 else recordsSinceSnapshot + 1
        if (isSnapshot) latestSnapshot = trackedRecords.last()
    }

    /** Returns true if the stream needs a new snapshot; [page] is the page that was read last. */
    fun isDue(page: LogPage): Boolean {
        while (trackedRecords.isNotEmpty() && trackedRecords.first().offset < page.firstOffset) {
            retentionMs = min(retentionMs, page.nowMs - trackedRecords.removeFirst().atMs)
        }
        val snapshot = latestSnapshot ?: return page.nextOffset > 0
        if (snapshot.offset < (page.firstOffset + page.nextOffset) / 2 && page.firstOffset > 0) return true
        if (recordsSinceSnapshot >= settings.snapshotIntervalRecords) return true
        return page.nowMs - snapshot.atMs >= intervalMs()
    }

    /** Maximum time between two snapshots. */
    fun intervalMs(): Long = min(settings.snapshotIntervalMs, retentionMs / SNAPSHOTS_PER_RETENTION).coerceAtLeast(1)

    private companion object {
        const val SNAPSHOTS_PER_RETENTION = 3
        const val MAX_TRACKED_RECORDS = 512
    }
}
