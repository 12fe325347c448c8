package io.knapweedferry.api.message

import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a peer for its configuration if it is newer. Answered by [ConfigOffer]. */
@Serializable
@SerialName("config_pull")
public data class ConfigPull(
    val newerThan: Revision,
) : Message
