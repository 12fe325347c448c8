package io.knapweedferry.api.placement

import io.knapweedferry.api.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request whose placement is explained. */
@Serializable
public data class PlacementRequest(
    val host: String,
    val path: String,
    /** Null for a request without an API key. */
    val organisation: OrganisationId? = null,
    /** Null for a request that declares no token counts, or for the typical count if its service has engines. */
    @SerialName("prompt_tokens")
    val promptTokens: Int? = null,
    /** See [promptTokens]. */
    @SerialName("output_tokens")
    val outputTokens: Int? = null,
) {
    public companion object {
        public const val MIN_TOKENS: Int = 0

        /** The same limit as for the counts that callers declare; beyond the capacity of any engine. */
        public const val MAX_TOKENS: Int = 100_000_000
    }
}
