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

/** Runs handlers as coroutines, so that a waiting call occupies no thread. */
internal class Calls(
    private val scope: CoroutineScope,
) {
    /** Answers with the JSON text that [block] returns. */
    fun answer(
        context: Context,
        block: suspend () -> String,
    ) = context.future {
        val done = CompletableFuture<Unit>()
        scope
            .launch { respond(context, block) }
            .invokeOnCompletion { cause -> settle(done, cause) }
        done
    }

    private suspend fun respond(
        context: Context,
        block: suspend () -> String,
    ) {
        try {
            context.contentType("application/json").result(block())
        } catch (e: StandInFailure) {
            fail(context, e)
        } catch (e: SerializationException) {
            fail(context, StandInFailure.badRequest(e))
        } catch (_: LostAnswer) {
            cut(context.req())
        }
    }

    private fun settle(
        done: CompletableFuture<Unit>,
        cause: Throwable?,
    ) {
        when (cause) {
            null -> done.complete(Unit)
            // Only at shutdown. Javalin would try without end to answer a request that the server has already dropped.
            is CancellationException -> return
            else -> done.completeExceptionally(cause)
        }
    }

    private fun fail(
        context: Context,
        failure: StandInFailure,
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

        /** Name of the stand-in whose port got the call. */
        fun standIn(request: HttpServletRequest): String = connection(request).connector.name

        /** Closes the connection of a call without an answer. */
        fun cut(request: HttpServletRequest) = connection(request).connection.endPoint.close()

        private fun connection(request: HttpServletRequest) = ServletContextRequest.getServletContextRequest(request).connectionMetaData
    }
}
