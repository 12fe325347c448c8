package io.knapweedferry.config.stream

import io.knapweedferry.api.Revision
import io.knapweedferry.platform.PlatformError

/** Event of a [ConfigFollower], for metrics and logs. */
public sealed interface FollowerEvent {
    /** A newer revision became current. */
    public data class RevisionApplied(
        val revision: Revision,
    ) : FollowerEvent

    /** An unknown or malformed record was skipped. */
    public data class RecordSkipped(
        val offset: Long,
        val reason: String,
    ) : FollowerEvent

    /** A read or append of the log failed. */
    public data class LogAccessFailed(
        val error: PlatformError,
    ) : FollowerEvent

    /** A newer configuration was received from a peer. */
    public data class PulledFromPeer(
        val revision: Revision,
    ) : FollowerEvent

    /** The process was paused for [gapMs]; the configuration is read again before it is used. */
    public data class ProcessPaused(
        val gapMs: Long,
    ) : FollowerEvent

    /** A snapshot was appended at [offset]. */
    public data class SnapshotAppended(
        val offset: Long,
    ) : FollowerEvent

    /** The log has neither its first record nor a usable snapshot, so the configuration can only come from a peer. */
    public data object ReplayStartMissing : FollowerEvent

    /** The log ends before an offset that was already read, for example after data loss; the current configuration is kept. */
    public data class LogTruncated(
        val nextOffset: Long,
        val appliedOffset: Long,
    ) : FollowerEvent
}
