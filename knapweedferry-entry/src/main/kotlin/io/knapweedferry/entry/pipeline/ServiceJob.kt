package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.ServiceName
import kotlin.time.TimeMark

/** A classified call of a plain service. */
internal data class ServiceJob(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val service: ServiceName,
    val operation: OperationName,
    val rank: Rank,
    val body: String,
    /** Present exactly if the operation must not be repeated. */
    val key: IdempotencyKey?,
    val deadline: TimeMark,
) {
    /** What the idempotency key of this job stands for. */
    val scope: String get() = "${organisation.value}/${service.value}/${operation.value}"

    fun deadlineMs(): Long = -deadline.elapsedNow().inWholeMilliseconds
}
