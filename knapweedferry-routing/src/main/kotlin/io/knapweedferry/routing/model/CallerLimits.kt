package io.knapweedferry.routing.model

/** Bounds on what a caller may send and how long it may take. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
) {
    public companion object {
        /** In force until a configuration names others; generous, because a request refused for its size is not repeated. */
        public val DEFAULT: CallerLimits =
            CallerLimits(maxHeaderBytes = 65_536, maxBodyBytes = 4 * 1024 * 1024, headerTimeoutMs = 5_000, idleTimeoutMs = 60_000)
    }
}
