package io.knapweedferry.testing.standin.instance

import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.serialization.Serializable

/** Current content of the instance list, including changes that are not visible yet. */
@Serializable
internal data class InstanceListStatistics(
    val instances: List<ListedInstance>,
)
