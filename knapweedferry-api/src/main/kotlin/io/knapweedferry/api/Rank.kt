package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Priority class of a request, in order of decreasing priority. */
@Serializable
public enum class Rank {
    URGENT,
    STANDARD,
    BACKGROUND,
}
