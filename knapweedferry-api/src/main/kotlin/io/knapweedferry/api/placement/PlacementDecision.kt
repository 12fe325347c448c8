package io.knapweedferry.api.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What would happen to a request now. */
@Serializable
public enum class PlacementDecision {
    /** It would be sent to an endpoint, or an engine would be asked for a reservation, at once. */
    @SerialName("run")
    RUN,

    /** It would wait in the queue for an engine. */
    @SerialName("wait")
    WAIT,

    @SerialName("refuse")
    REFUSE,
}
