package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** A typed refusal: the request was not run. */
@Serializable
public data class Refusal(
    val reason: RefusalReason,
    val detail: String = "",
    val retryAfterMs: Long? = null,
) {
    /** Text for a person, ending with the remedy. */
    public val message: String
        get() = if (detail.isEmpty()) "${reason.code}: ${reason.remedy}" else "${reason.code}: $detail; ${reason.remedy}"
}
