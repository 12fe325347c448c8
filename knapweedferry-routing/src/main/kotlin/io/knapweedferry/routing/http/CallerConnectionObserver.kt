package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.telemetry.StalledCallerReason

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

    /** A response was written that the caller has not made room for. */
    fun onUnread()

    /** The connection is closed because the caller does not read. */
    fun onStalled(
        reason: StalledCallerReason,
        unreadBytes: Long,
        stalledMs: Long,
    )
}
