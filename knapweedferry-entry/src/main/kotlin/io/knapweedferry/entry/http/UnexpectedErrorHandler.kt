package io.knapweedferry.entry.http

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.Handler
import io.javalin.http.HttpResponseException
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import org.eclipse.jetty.ee10.servlet.ServletContextRequest

/**
 * Ends requests whose handling throws an unexpected error. Before the response has begun, the caller gets problem details with an
 * unknown outcome. Afterwards the connection is closed, because an orderly end would make the response look complete.
 */
internal class UnexpectedErrorHandler(
    private val events: EventLog,
) : RouteGroup {
    override fun register(config: JavalinConfig) {
        config.router.handlerWrapper { endpoint ->
            Handler { context -> runCatching { endpoint.handler.handle(context) }.onFailure { handle(context, it) } }
        }
    }

    private fun handle(
        context: Context,
        error: Throwable,
    ) {
        // Refusals of the HTTP server itself, for example of a body that is too large.
        if (error is HttpResponseException) throw error
        events.write(LogEvent.UNCAUGHT_ERROR, "detail" to error.stackTraceToString().take(MAX_DETAIL_CHARS))
        if (context.res().isCommitted) return closeConnection(context)
        val requestId =
            context
                .res()
                .getHeader(CallerRequestReader.REQUEST_ID_HEADER)
                .orEmpty()
        context.res().resetBuffer()
        ProblemResponse.write(context, ProblemDetail.unexpectedError(requestId))
    }

    private fun closeConnection(context: Context) {
        ServletContextRequest
            .getServletContextRequest(context.req())
            .connectionMetaData
            .connection
            .endPoint
            .close()
    }

    private companion object {
        /** The stack trace of a stack overflow repeats the same frames hundreds of times. */
        const val MAX_DETAIL_CHARS = 1_500
    }
}
