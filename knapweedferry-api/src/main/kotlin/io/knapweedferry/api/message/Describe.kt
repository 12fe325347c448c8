package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a sidecar who it is and what its endpoints carry. Answered by [Described]. */
@Serializable
@SerialName("describe")
public data object Describe : Message
