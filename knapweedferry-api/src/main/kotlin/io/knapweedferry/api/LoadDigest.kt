package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Compact load of one endpoint, carried on replies so that it costs no messages of its own. */
@Serializable
public data class LoadDigest(
    val endpoint: EndpointId,
    val freeSlots: Int,
    val freePieces: Int,
    val queuedUrgent: Int,
    val queuedStandard: Int,
    val queuedBackground: Int,
    /** Time that a new standard request would wait now. */
    val waitMs: Int,
    /** Recent mean time between tokens. */
    val interTokenMs: Int,
)
