package io.knapweedferry.config.stream

import io.knapweedferry.api.Revision
import io.knapweedferry.platform.PlatformError

/** Something that happened while the configuration was followed; the process counts and logs it. */
public sealed interface FollowerEvent {
    /** A newer revision is in force. */
    public data class Adopted(
        val revision: Revision,
    ) : FollowerEvent

    /** A record could not be understood and was passed over. */
    public data class RecordSkipped(
        val offset: Long,
        val reason: String,
    ) : FollowerEvent

    /** The log did not answer. */
    public data class ReadFailed(
        val error: PlatformError,
    ) : FollowerEvent

    /** A peer gave a newer configuration. */
    public data class PulledFromPeer(
        val revision: Revision,
    ) : FollowerEvent

    /** The process did not run for [gapMs]; the configuration is read again before it is used. */
    public data class Frozen(
        val gapMs: Long,
    ) : FollowerEvent

    /** A snapshot was appended at [offset]. */
    public data class SnapshotAppended(
        val offset: Long,
    ) : FollowerEvent

    /** The log keeps neither the first record nor a usable snapshot; only a peer can help. */
    public data object CannotJoin : FollowerEvent

    /** The log ends before an offset that was already read; the configuration in force is kept. */
    public data class LogWentBack(
        val nextOffset: Long,
        val foldedOffset: Long,
    ) : FollowerEvent
}
