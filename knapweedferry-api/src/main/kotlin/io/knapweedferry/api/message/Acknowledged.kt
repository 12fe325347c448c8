package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Confirms a message that has no other answer. */
@Serializable
@SerialName("acknowledged")
public data object Acknowledged : Message
