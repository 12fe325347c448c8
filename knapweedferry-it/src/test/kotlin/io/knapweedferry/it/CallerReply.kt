package io.knapweedferry.it

/** What a caller got back. */
internal data class CallerReply(
    val status: Int,
    val body: String,
)
