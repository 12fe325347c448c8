package io.knapweedferry.api.message

import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to [Describe]. */
@Serializable
@SerialName("described")
public data class Described(
    val incarnation: Incarnation,
    val revision: Revision,
    val leaving: Boolean,
    val loads: List<LoadSummary>,
) : Message
