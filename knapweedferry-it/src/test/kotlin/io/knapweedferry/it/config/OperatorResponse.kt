package io.knapweedferry.it.config

/** HTTP response to an operator request. */
internal data class OperatorResponse(
    val status: Int,
    val body: String,
)
