package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Directions of a connection to which a fault applies. */
@Serializable
internal enum class Direction {
    TO_TARGET,
    TO_CLIENT,
    BOTH,
    ;

    fun covers(other: Direction): Boolean = this == BOTH || this == other
}
