package io.knapweedferry.entry.observe

import io.knapweedferry.config.stream.FollowerEvent
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent

/** Writes the events of the configuration follower to the event log. */
public class FollowerEventLogger(
    private val events: EventLog,
) : (FollowerEvent) -> Unit {
    override fun invoke(event: FollowerEvent) {
        when (event) {
            is FollowerEvent.RevisionApplied -> events.write(LogEvent.CONFIG_APPLIED, "revision" to event.revision.value)
            is FollowerEvent.RecordSkipped ->
                events.write(LogEvent.CONFIG_RECORD_UNREADABLE, "offset" to event.offset, "reason" to event.reason)
            is FollowerEvent.LogAccessFailed -> events.write(LogEvent.LOG_DOWN, "detail" to event.error.message)
            is FollowerEvent.PulledFromPeer -> events.write(LogEvent.CONFIG_FROM_PEER, "revision" to event.revision.value)
            is FollowerEvent.ProcessPaused -> events.write(LogEvent.PROCESS_PAUSED, "gap_ms" to event.gapMs)
            is FollowerEvent.SnapshotAppended -> events.write(LogEvent.SNAPSHOT_APPENDED, "offset" to event.offset)
            is FollowerEvent.ReplayStartMissing -> events.write(LogEvent.CONFIG_NO_SNAPSHOT)
            is FollowerEvent.LogTruncated ->
                events.write(LogEvent.CONFIG_OLDER_IGNORED, "next_offset" to event.nextOffset, "folded_offset" to event.appliedOffset)
        }
    }
}
