package io.knapweedferry.daemon.process

import io.knapweedferry.api.Incarnation
import java.util.UUID

/** Generates the incarnation of a process, which tells a restarted process from the previous one. */
internal object Incarnations {
    fun random() = Incarnation(UUID.randomUUID().toString())
}
