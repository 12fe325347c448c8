package io.knapweedferry.api.message

import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the configuration of a peer if it is newer than [newerThan]. Answered by [ConfigOffer]. */
@Serializable
@SerialName("config_pull")
public data class ConfigPull(
    val newerThan: Revision,
) : Message
