package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies a plan by the log offset of its proposal. */
@Serializable
@JvmInline
public value class PlanId(
    public val value: Long,
)
