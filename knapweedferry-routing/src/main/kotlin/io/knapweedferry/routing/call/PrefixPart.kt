package io.knapweedferry.routing.call

/** Part of a prompt that other requests may share. */
public data class PrefixPart(
    val id: String,
    val tokens: Int,
)
