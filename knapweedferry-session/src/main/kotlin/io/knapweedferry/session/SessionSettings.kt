package io.knapweedferry.session

import io.knapweedferry.api.ProcessId

/** Settings of one end of all its sessions. */
public data class SessionSettings(
    val processId: ProcessId,
    val key: SessionKey,
    val heartbeatIntervalMs: Long = 1_000,
    /** A session that hears nothing for this long while exchanges are in flight is closed. */
    val heartbeatTimeoutMs: Long = 3_000,
    val maxFrameBytes: Int = 4_194_304,
    /** Limit for connecting and for the handshake together. */
    val connectTimeoutMs: Long = 2_000,
) {
    init {
        require(heartbeatIntervalMs > 0) { "heartbeat_interval_ms must be positive" }
        require(heartbeatTimeoutMs > heartbeatIntervalMs) { "heartbeat_timeout_ms must exceed heartbeat_interval_ms" }
        require(maxFrameBytes >= MIN_FRAME_BYTES) { "max_frame_bytes must be at least $MIN_FRAME_BYTES" }
        require(connectTimeoutMs > 0) { "connect_timeout_ms must be positive" }
    }

    public companion object {
        /** Room for the frames of the handshake. */
        public const val MIN_FRAME_BYTES: Int = 1_024
    }
}
