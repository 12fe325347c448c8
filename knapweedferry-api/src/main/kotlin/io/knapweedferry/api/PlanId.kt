package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Offset at which a plan was proposed. */
@Serializable
@JvmInline
public value class PlanId(
    public val value: Long,
)
