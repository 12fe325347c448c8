package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage

/** Finds the state from which a process can fold on: the empty one, or that of a snapshot that is still followed by every later record. */
internal class JoinPoint(
    private val log: AppendLog,
    private val settings: FollowerSettings,
) {
    /** Returns the state to start from, or null if the log keeps none. */
    suspend fun find(): Either<PlatformError, FoldState?> {
        val first = read(0, 1).getOrElse { return it.left() }
        // Backwards from the end, because the newest snapshot leaves the fewest records to fold.
        var end = first.nextOffset
        while (end > first.firstOffset) {
            val start = maxOf(first.firstOffset, end - settings.pageRecords)
            val page = read(start, settings.pageRecords).getOrElse { return it.left() }
            val snapshot = page.records.asReversed().firstNotNullOfOrNull { usable(it.payload, page.firstOffset) }
            if (snapshot != null) return snapshot.right()
            end = start
        }
        return FoldState().takeIf { first.firstOffset == 0L }.right()
    }

    private fun usable(
        payload: String,
        firstOffset: Long,
    ): FoldState? {
        val snapshot = RecordCodec.decode(payload).getOrNull() as? ConfigRecord.Snapshot ?: return null
        val covered = snapshot.fold.foldedOffset
        return snapshot.fold.takeIf { snapshot.foldVersion == ConfigFold.VERSION && covered + 1 >= firstOffset }
    }

    private suspend fun read(
        fromOffset: Long,
        maxRecords: Int,
    ): Either<PlatformError, LogPage> = log.read(settings.stream, fromOffset, maxRecords)
}
