package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Rank
import kotlinx.serialization.Serializable

/** API keys and permissions of an organisation. */
@Serializable
public data class OrganisationPolicy(
    /** SHA-256 hash of each API key, in lower-case hex. */
    val apiKeySha256: List<String>,
    val highestRank: Rank,
    /** Allowed models; empty means all. */
    val models: Set<ModelName> = emptySet(),
)
