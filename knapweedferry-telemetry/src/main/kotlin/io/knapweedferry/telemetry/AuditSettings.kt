package io.knapweedferry.telemetry

/** Limits of the audit trail of one process. */
public data class AuditSettings(
    /** Bytes that may be sent to the log, averaged over [burstSeconds]. */
    val bytesPerSecond: Int = DEFAULT_BYTES_PER_SECOND,
    /** Unused budget is kept for this long. */
    val burstSeconds: Int = DEFAULT_BURST_SECONDS,
    /** Records wait in memory up to this size while the log is down or the budget is spent. */
    val bufferBytes: Int = DEFAULT_BUFFER_BYTES,
    val flushIntervalMs: Long = DEFAULT_FLUSH_INTERVAL_MS,
) {
    init {
        require(bytesPerSecond > 0) { "bytes_per_second is $bytesPerSecond; set it to 1 or more" }
        require(burstSeconds > 0) { "burst_seconds is $burstSeconds; set it to 1 or more" }
        require(flushIntervalMs > 0) { "flush_interval_ms is $flushIntervalMs; set it to 1 or more" }
    }

    public companion object {
        /** Leaves most of the 7 KB a second that a node may spend on control traffic to configuration and load reports. */
        public const val DEFAULT_BYTES_PER_SECOND: Int = 3_000

        /** Long enough that a normal short burst of requests loses nothing. */
        public const val DEFAULT_BURST_SECONDS: Int = 20

        /** Small against the 64 MB that a node may use. */
        public const val DEFAULT_BUFFER_BYTES: Int = 1_000_000

        /** 1,020 processes that write every 5 s make 204 appends a second, within the log's several hundred. */
        public const val DEFAULT_FLUSH_INTERVAL_MS: Long = 5_000
    }
}
