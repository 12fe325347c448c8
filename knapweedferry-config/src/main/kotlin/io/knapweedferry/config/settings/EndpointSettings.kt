package io.knapweedferry.config.settings

import io.knapweedferry.api.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One `[[endpoint]]` of a sidecar. */
@Serializable
public data class EndpointSettings(
    @TextRule(TextForm.NAME)
    val id: EndpointId,
    val kind: EndpointKindName,
    @TextRule(TextForm.HTTP_URL)
    val url: String,
    /** Requests that the endpoint serves at once. */
    @InRange(min = 1, max = 1_024)
    val slots: Int = 20,
    /** Memory pieces of the engine; ignored for services. */
    @InRange(min = 1, max = 1_000_000)
    val pieces: Int = 200,
    @InRange(min = 1, max = 1_000_000)
    @SerialName("piece_tokens")
    val pieceTokens: Int = 4_000,
    @InRange(min = 0, max = 100_000)
    @SerialName("queue_limit")
    val queueLimit: Int = 200,
    /** True if the engine refuses orders with a stale fencing number. */
    @SerialName("checks_fencing")
    val checksFencing: Boolean = false,
)
