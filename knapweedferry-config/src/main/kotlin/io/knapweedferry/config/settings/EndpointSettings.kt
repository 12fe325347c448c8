package io.knapweedferry.config.settings

import io.knapweedferry.api.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[[endpoint]]` of a sidecar: one engine or service behind it. */
@Serializable
public data class EndpointSettings(
    @TextRule(TextFormat.NAME)
    val id: EndpointId,
    val kind: EndpointKindName,
    @TextRule(TextFormat.HTTP_URL)
    val url: String,
    /** Maximum number of requests that the endpoint serves concurrently. */
    @InRange(min = 1, max = 1_024)
    val slots: Int = 20,
    /** Number of KV cache blocks of the engine; ignored for services. */
    @InRange(min = 1, max = 1_000_000)
    @SerialName("pieces")
    val kvBlocks: Int = 200,
    /** Tokens per KV cache block. */
    @InRange(min = 1, max = 1_000_000)
    @SerialName("piece_tokens")
    val kvBlockTokens: Int = 4_000,
    @InRange(min = 0, max = 100_000)
    @SerialName("queue_limit")
    val queueLimit: Int = 200,
    /** True if the engine rejects requests with an outdated fencing token. */
    @SerialName("checks_fencing")
    val checksFencing: Boolean = false,
)
