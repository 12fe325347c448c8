package io.knapweedferry.telemetry

/** Rate and memory limits of the audit trail of one process. */
public data class AuditTrailSettings(
    /** Average rate of bytes sent to the log, over [burstSeconds]. */
    val bytesPerSecond: Int = DEFAULT_BYTES_PER_SECOND,
    /** Unused budget accumulates for up to this time, which bounds the size of a burst. */
    val burstSeconds: Int = DEFAULT_BURST_SECONDS,
    /** Memory for records while the log is unavailable or the byte budget is used up; further records are dropped. */
    val bufferBytes: Int = DEFAULT_BUFFER_BYTES,
    val flushIntervalMs: Long = DEFAULT_FLUSH_INTERVAL_MS,
) {
    init {
        require(bytesPerSecond > 0) { "bytes_per_second is $bytesPerSecond; set it to 1 or more" }
        require(burstSeconds > 0) { "burst_seconds is $burstSeconds; set it to 1 or more" }
        require(flushIntervalMs > 0) { "flush_interval_ms is $flushIntervalMs; set it to 1 or more" }
    }

    public companion object {
        /** Leaves most of the 7 KB/s budget for control traffic per node to configuration and load reports. */
        public const val DEFAULT_BYTES_PER_SECOND: Int = 3_000

        /** Absorbs a normal short burst of requests without drops. */
        public const val DEFAULT_BURST_SECONDS: Int = 20

        /** Small compared to the 64 MB memory budget of a node. */
        public const val DEFAULT_BUFFER_BYTES: Int = 1_000_000

        /** 1,020 processes that write every 5 s cause 204 appends per second; the log's capacity is several hundred. */
        public const val DEFAULT_FLUSH_INTERVAL_MS: Long = 5_000
    }
}
