package io.knapweedferry.api.message

import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to [ConfigPull]: the configuration of the peer, or only its revision if it has nothing newer. */
@Serializable
@SerialName("config_offer")
public data class ConfigOffer(
    val revision: Revision,
    /** Offset of the last log record that the peer applied. */
    @SerialName("foldedOffset")
    val appliedOffset: Long,
    /** Configuration state as JSON, or null if the peer has nothing newer. */
    val stateJson: String?,
) : Message
