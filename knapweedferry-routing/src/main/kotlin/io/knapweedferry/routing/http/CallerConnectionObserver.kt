package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalResponse

/** Receives the lifecycle events of caller connections. */
internal interface CallerConnectionObserver {
    fun opened(connection: CallerConnection)

    fun closed(connection: CallerConnection)

    /** A request was refused before it was routed. */
    fun refused(
        response: LocalResponse,
        detail: String,
    )

    fun failed(cause: Throwable)
}
