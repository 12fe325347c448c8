package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Directions of a connection that a fault covers. */
@Serializable
internal enum class Direction {
    TO_TARGET,
    TO_CLIENT,
    BOTH,
    ;

    fun covers(other: Direction): Boolean = this == BOTH || this == other
}
