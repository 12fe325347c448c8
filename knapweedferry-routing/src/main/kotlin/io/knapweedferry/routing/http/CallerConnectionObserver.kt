package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalAnswer

/** Learns what happens on connections of callers. */
internal interface CallerConnectionObserver {
    fun opened(connection: CallerConnection)

    fun closed(connection: CallerConnection)

    /** A request was refused before it had a route. */
    fun refused(
        answer: LocalAnswer,
        detail: String,
    )

    fun failed(cause: Throwable)
}
