package io.knapweedferry.session

import io.knapweedferry.api.ProcessId

/** Settings of a session client or server. */
public data class SessionSettings(
    val processId: ProcessId,
    val key: SessionKey,
    val heartbeatIntervalMs: Long = 1_000,
    /** Time without bytes from the peer after which a session with exchanges in flight is closed. */
    val heartbeatTimeoutMs: Long = 3_000,
    val maxFrameBytes: Int = 4_194_304,
    /** Timeout of establishing the TCP connection, and separately of the handshake. */
    val connectTimeoutMs: Long = 2_000,
) {
    init {
        require(heartbeatIntervalMs > 0) { "heartbeat_interval_ms must be positive" }
        require(heartbeatTimeoutMs > heartbeatIntervalMs) { "heartbeat_timeout_ms must exceed heartbeat_interval_ms" }
        require(maxFrameBytes >= MIN_FRAME_BYTES) { "max_frame_bytes must be at least $MIN_FRAME_BYTES" }
        require(connectTimeoutMs > 0) { "connect_timeout_ms must be positive" }
    }

    public companion object {
        /** Every handshake frame fits into this size. */
        public const val MIN_FRAME_BYTES: Int = 1_024
    }
}
