package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies the organisation that a caller belongs to. */
@Serializable
@JvmInline
public value class OrganisationId(
    public val value: String,
)
