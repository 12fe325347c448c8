package io.knapweedferry.session

/** Why a session or a connection attempt ended. Each reason is counted separately. */
public enum class CloseReason(
    /** Stable code used in metrics and logs. */
    public val code: String,
) {
    CLOSED_HERE("closed_here"),
    PEER_CLOSED("peer_closed"),
    IDLE("idle"),
    SILENT("silent"),
    WRITE_STALLED("write_stalled"),
    IO_FAILED("io_failed"),
    FRAME_TOO_LARGE("frame_too_large"),
    FRAME_TRUNCATED("frame_truncated"),
    FRAME_UNKNOWN("frame_unknown"),
    FRAME_UNEXPECTED("frame_unexpected"),
    VERSION_MISMATCH("version_mismatch"),
    NOT_AUTHENTICATED("not_authenticated"),
    HANDSHAKE_TIMEOUT("handshake_timeout"),
    HANDSHAKE_LIMIT("handshake_limit"),
}
