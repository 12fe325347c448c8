package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Acknowledges a message that has no specific answer. */
@Serializable
@SerialName("acknowledged")
public data object Acknowledged : Message
