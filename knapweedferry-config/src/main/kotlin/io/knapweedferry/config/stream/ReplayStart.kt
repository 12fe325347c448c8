package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage

/** Finds the state from which to replay the log: the initial state, or a snapshot whose later records are all still in the log. */
internal class ReplayStart(
    private val log: AppendLog,
    private val settings: FollowerSettings,
) {
    /** Returns the state to start from, or null if the log has neither its first record nor a usable snapshot. */
    suspend fun find(): Either<PlatformError, ConfigStreamState?> {
        val first = read(0, 1).getOrElse { return it.left() }
        // Searches backwards, because the latest snapshot leaves the fewest records to replay.
        var end = first.nextOffset
        while (end > first.firstOffset) {
            val start = maxOf(first.firstOffset, end - settings.pageRecords)
            val page = read(start, settings.pageRecords).getOrElse { return it.left() }
            val snapshot = page.records.asReversed().firstNotNullOfOrNull { usableSnapshot(it.payload, page.firstOffset) }
            if (snapshot != null) return snapshot.right()
            end = start
        }
        return ConfigStreamState().takeIf { first.firstOffset == 0L }.right()
    }

    private fun usableSnapshot(
        payload: String,
        firstOffset: Long,
    ): ConfigStreamState? {
        val snapshot = RecordCodec.decode(payload).getOrNull() as? ConfigRecord.Snapshot ?: return null
        val lastOffset = snapshot.state.appliedOffset
        return snapshot.state.takeIf { snapshot.replayerVersion == ConfigReplayer.VERSION && lastOffset + 1 >= firstOffset }
    }

    private suspend fun read(
        fromOffset: Long,
        maxRecords: Int,
    ): Either<PlatformError, LogPage> = log.read(settings.stream, fromOffset, maxRecords)
}
