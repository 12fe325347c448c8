package io.knapweedferry.platform.log

import kotlinx.serialization.Serializable

/** Response to an [AppendRequest]. */
@Serializable
public data class AppendReply(
    val firstOffset: Long,
)
