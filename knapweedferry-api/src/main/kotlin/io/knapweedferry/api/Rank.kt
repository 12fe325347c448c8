package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Urgency class of a request, most urgent first. */
@Serializable
public enum class Rank {
    URGENT,
    STANDARD,
    BACKGROUND,
}
