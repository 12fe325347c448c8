package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies one claim record. */
@Serializable
@JvmInline
public value class ClaimId(
    public val value: String,
)
