package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Rank
import kotlinx.serialization.Serializable

/** What the callers of an organisation may use. */
@Serializable
public data class OrganisationPolicy(
    /** SHA-256 of each API key, in lower-case hex. */
    val apiKeySha256: List<String>,
    val highestRank: Rank,
    /** Models that may be used; empty means all. */
    val models: Set<ModelName> = emptySet(),
)
