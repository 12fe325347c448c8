package io.knapweedferry.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Load of an endpoint. Included in responses, so that no separate load messages are needed. */
@Serializable
public data class LoadSummary(
    val endpoint: EndpointId,
    val freeSlots: Int,
    /** Free KV cache blocks. */
    @SerialName("freePieces")
    val freeKvBlocks: Int,
    val queuedUrgent: Int,
    val queuedStandard: Int,
    val queuedBackground: Int,
    /** Estimated queueing time of a new request of rank standard. */
    val waitMs: Int,
    /** Mean time between tokens over a recent period. */
    val interTokenMs: Int,
)
