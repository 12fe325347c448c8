package io.knapweedferry.api.message

import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.LoadSummary
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Grants a lease on decode capacity. The lease expires if no [Decode] uses it within [leaseMs]. */
@Serializable
@SerialName("reserved")
public data class Reserved(
    val lease: LeaseId,
    val leaseMs: Long,
    val queuedMs: Long,
    val load: LoadSummary,
) : Message
