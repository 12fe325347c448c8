package io.knapweedferry.telemetry

/** Why a frame of a session was dropped instead of delivered. */
public enum class DroppedFrameReason {
    /** It arrived after its exchange had ended. */
    LATE,

    /** Its position was delivered before. */
    DUPLICATE,

    /** It names a request or an attempt that the exchange does not belong to. */
    FOREIGN,

    /** It leaves out positions, so the answer cannot be continued with it. */
    OUT_OF_ORDER,

    /** The bounded queue in front of a slow reader was full. */
    QUEUE_FULL,

    /** It is longer than a frame may be. */
    TOO_LARGE,

    /** It could not be decoded. */
    MALFORMED,
}
