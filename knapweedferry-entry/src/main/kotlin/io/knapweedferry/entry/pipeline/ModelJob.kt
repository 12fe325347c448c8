package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RequestId
import kotlin.time.TimeMark

/** A validated model request. */
internal data class ModelJob(
    val requestId: RequestId,
    val organisation: OrganisationId,
    val model: ModelName,
    val rank: Rank,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val stream: Boolean,
    val firstTokenDeadline: TimeMark,
    val deadline: TimeMark,
) {
    /** Time until [firstTokenDeadline]; may be negative. */
    fun msUntilFirstTokenDeadline(): Long = -firstTokenDeadline.elapsedNow().inWholeMilliseconds

    /** Time until [deadline]; may be negative. */
    fun remainingMs(): Long = -deadline.elapsedNow().inWholeMilliseconds
}
