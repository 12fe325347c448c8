package io.knapweedferry.daemon.process

import io.knapweedferry.api.Incarnation
import java.util.UUID

/** Chooses the incarnation of a process at its start. */
internal object Incarnations {
    fun random() = Incarnation(UUID.randomUUID().toString())
}
