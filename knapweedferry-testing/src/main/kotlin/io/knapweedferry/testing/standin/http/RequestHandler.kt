package io.knapweedferry.testing.standin.http

import io.javalin.http.Context
import jakarta.servlet.http.HttpServletRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.util.concurrent.CompletableFuture

/** Runs request handlers as coroutines, so that a waiting request occupies no thread. */
internal class RequestHandler(
    private val scope: CoroutineScope,
) {
    /** Responds with the JSON text that [block] returns. */
    fun handle(
        context: Context,
        block: suspend () -> String,
    ) = context.future {
        val done = CompletableFuture<Unit>()
        scope
            .launch { respond(context, block) }
            .invokeOnCompletion { cause -> complete(done, cause) }
        done
    }

    private suspend fun respond(
        context: Context,
        block: suspend () -> String,
    ) {
        try {
            context.contentType("application/json").result(block())
        } catch (e: ErrorResponseException) {
            fail(context, e)
        } catch (e: SerializationException) {
            fail(context, ErrorResponseException.badRequest(e))
        } catch (_: DroppedConnectionException) {
            closeConnection(context.req())
        }
    }

    private fun complete(
        done: CompletableFuture<Unit>,
        cause: Throwable?,
    ) {
        when (cause) {
            null -> done.complete(Unit)
            // Cancelled at shutdown. Javalin would retry forever to respond to a request that the server has already dropped.
            is CancellationException -> return
            else -> done.completeExceptionally(cause)
        }
    }

    private fun fail(
        context: Context,
        failure: ErrorResponseException,
    ) {
        context.status(failure.status).contentType("application/json").result(failure.body())
    }

    companion object {
        val json: Json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }

        fun <T> decode(
            context: Context,
            serializer: KSerializer<T>,
        ): T = json.decodeFromString(serializer, context.body())

        /** Name of the stand-in whose port received the request. */
        fun standInName(request: HttpServletRequest): String = connection(request).connector.name

        /** Closes the connection of a request without a response. */
        fun closeConnection(request: HttpServletRequest) = connection(request).connection.endPoint.close()

        private fun connection(request: HttpServletRequest) = ServletContextRequest.getServletContextRequest(request).connectionMetaData
    }
}
