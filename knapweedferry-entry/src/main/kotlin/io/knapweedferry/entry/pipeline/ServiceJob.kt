package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.ServiceName
import kotlin.time.TimeMark

/** A validated service call. */
internal data class ServiceJob(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val operation: OperationName,
    val rank: Rank,
    val body: String,
    /** Non-null exactly if the operation must not be repeated. */
    val key: IdempotencyKey?,
    val deadline: TimeMark,
) {
    /** Scope of the idempotency key; reuse of a key in another scope is refused. */
    val scope: String get() = "${organisation.value}/${service.value}/${operation.value}"

    /** Time until [deadline]; may be negative. */
    fun remainingMs(): Long = -deadline.elapsedNow().inWholeMilliseconds
}
