package io.knapweedferry.routing.pipeline

/** What an attempt will take, for the book-keeping of its endpoint. */
internal data class AttemptOptions(
    val kvTokens: Int,
    val unreadTokens: Int,
    /** Usual time to the first byte of the answer. */
    val expectedFirstByteMs: Double,
    /** Longest idle time of a kept connection that may be used. */
    val maxIdleMs: Long,
)
