package io.knapweedferry.api.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to [Cancel]. */
@Serializable
@SerialName("cancelled")
public data class Cancelled(
    /** True if the attempt was cancelled before anything was submitted to the endpoint. */
    val beforeSubmission: Boolean,
) : Message
