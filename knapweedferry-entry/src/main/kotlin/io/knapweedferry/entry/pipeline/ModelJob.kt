package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlin.time.TimeMark

/** A classified model request. */
internal data class ModelJob(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val model: ModelName,
    val rank: Rank,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val stream: Boolean,
    val firstTokenDue: TimeMark,
    val deadline: TimeMark,
) {
    fun firstTokenDueMs(): Long = -firstTokenDue.elapsedNow().inWholeMilliseconds

    fun deadlineMs(): Long = -deadline.elapsedNow().inWholeMilliseconds
}
