package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalResponse

/** Receives the lifecycle events of caller connections. */
internal interface CallerConnectionObserver {
    fun onOpened(connection: CallerConnection)

    fun onClosed(connection: CallerConnection)

    /** A request was refused before it was routed. */
    fun onRefused(
        response: LocalResponse,
        detail: String,
    )

    fun onFailed(cause: Throwable)
}
