package io.knapweedferry.telemetry

/** Why a session dropped a received or outgoing frame. */
public enum class DroppedFrameReason {
    /** The frame arrived after its exchange had ended. */
    LATE,

    /** A frame with the same position was already delivered. */
    DUPLICATE,

    /** The frame names a request or attempt other than that of its exchange. */
    FOREIGN,

    /** Earlier positions are missing, so the response stream cannot continue with this frame. */
    OUT_OF_ORDER,

    /** The bounded queue of a slow reader was full. */
    QUEUE_FULL,

    /** The frame exceeds the maximum frame size. */
    TOO_LARGE,

    /** The frame could not be decoded. */
    MALFORMED,
}
