package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the identity of a sidecar and the load of its endpoints. Answered by [Described]. */
@Serializable
@SerialName("describe")
public data object Describe : Message
