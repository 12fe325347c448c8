package io.knapweedferry.config.stream

import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlin.math.min

/**
 * Decides when the stream needs a new snapshot. The platform does not tell its retention, so it is estimated from the age
 * of records when they disappear; a snapshot is due after a third of it, which leaves two more attempts.
 */
internal class SnapshotSchedule(
    private val settings: FollowerSettings,
) {
    private val ages = ArrayDeque<LogRecord>()
    private var newest: LogRecord? = null
    private var recordsSince = 0
    private var retentionMs = Long.MAX_VALUE

    /** Takes note of a record that was read. */
    fun observe(
        record: LogRecord,
        isSnapshot: Boolean,
    ) {
        ages.addLast(record.copy(payload = ""))
        if (ages.size > MAX_AGES) ages.removeFirst()
        recordsSince = if (isSnapshot) 0 else recordsSince + 1
        if (isSnapshot) newest = ages.last()
    }

    /** True if the stream needs a new snapshot as of [page]. */
    fun isDue(page: LogPage): Boolean {
        while (ages.isNotEmpty() && ages.first().offset < page.firstOffset) {
            retentionMs = min(retentionMs, page.nowMs - ages.removeFirst().atMs)
        }
        val snapshot = newest ?: return page.nextOffset > 0
        if (snapshot.offset < (page.firstOffset + page.nextOffset) / 2 && page.firstOffset > 0) return true
        if (recordsSince >= settings.snapshotRecords) return true
        return page.nowMs - snapshot.atMs >= intervalMs()
    }

    /** Longest time between two snapshots. */
    fun intervalMs(): Long = min(settings.snapshotIntervalMs, retentionMs / PARTS_OF_RETENTION).coerceAtLeast(1)

    private companion object {
        const val PARTS_OF_RETENTION = 3
        const val MAX_AGES = 512
    }
}
