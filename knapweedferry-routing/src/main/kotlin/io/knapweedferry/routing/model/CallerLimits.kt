package io.knapweedferry.routing.model

/** Size limits and timeouts for callers. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    /** Maximum time between two parts of a request that is being received. */
    val headerTimeoutMs: Long,
    /** Time after which an idle connection is closed. */
    val idleTimeoutMs: Long,
) {
    public companion object {
        /** Used until the first configuration arrives. Generous, because callers do not retry a request that was refused for its size. */
        public val DEFAULT: CallerLimits =
            CallerLimits(maxHeaderBytes = 65_536, maxBodyBytes = 4 * 1024 * 1024, headerTimeoutMs = 5_000, idleTimeoutMs = 60_000)
    }
}
