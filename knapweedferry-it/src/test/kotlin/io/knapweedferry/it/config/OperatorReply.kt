package io.knapweedferry.it.config

/** What an operator got back. */
internal data class OperatorReply(
    val status: Int,
    val body: String,
)
