package io.knapweedferry.testing.standin.instance

import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.serialization.Serializable

/** True entries of the list, without lag. */
@Serializable
internal data class InstanceListLedger(
    val instances: List<ListedInstance>,
)
