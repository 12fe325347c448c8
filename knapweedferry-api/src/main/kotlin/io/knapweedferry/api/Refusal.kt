package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** States that a request was not run and why. */
@Serializable
public data class Refusal(
    val reason: RefusalReason,
    val detail: String = "",
    val retryAfterMs: Long? = null,
) {
    /** Human-readable message that ends with the remedy. */
    public val message: String
        get() = if (detail.isEmpty()) "${reason.code}: ${reason.remedy}" else "${reason.code}: $detail; ${reason.remedy}"
}
