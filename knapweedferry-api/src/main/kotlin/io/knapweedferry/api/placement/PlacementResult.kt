package io.knapweedferry.api.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of one step in the explanation of a placement. */
@Serializable
public enum class PlacementResult {
    @SerialName("passed")
    PASSED,

    @SerialName("waits")
    WAITS,

    @SerialName("refused")
    REFUSED,

    /** An earlier step refused the request. */
    @SerialName("not_reached")
    NOT_REACHED,
}
