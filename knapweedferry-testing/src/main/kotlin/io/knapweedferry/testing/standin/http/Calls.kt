package io.knapweedferry.testing.standin.http

import io.javalin.http.Context
import io.knapweedferry.platform.http.ErrorBody
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
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
    ) = run(context) { context.contentType("application/json").result(block()) }

    /** Lets [block] write the response itself; the response ends when the returned future completes. */
    fun stream(
        context: Context,
        block: suspend () -> CompletableFuture<Unit>,
    ) = run(context) { block().await() }

    private fun run(
        context: Context,
        block: suspend () -> Unit,
    ) = context.future {
        scope.future {
            try {
                block()
            } catch (e: StandInFailure) {
                fail(context, e.status, e.code, e.message)
            } catch (e: SerializationException) {
                fail(context, BAD_REQUEST, "bad_request", e.message.orEmpty())
            } catch (_: LostAnswer) {
                cut(context)
            }
        }
    }

    private fun fail(
        context: Context,
        status: Int,
        code: String,
        message: String,
    ) {
        val body = json.encodeToString(ErrorBody.serializer(), ErrorBody(code, message))
        context.status(status).contentType("application/json").result(body)
    }

    companion object {
        private const val BAD_REQUEST = 400

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
        fun standIn(context: Context): String =
            ServletContextRequest
                .getServletContextRequest(context.req())
                .connectionMetaData
                .connector
                .name

        /** Closes the connection of a call without an answer. */
        fun cut(context: Context) {
            ServletContextRequest
                .getServletContextRequest(context.req())
                .connectionMetaData
                .connection
                .endPoint
                .close()
        }
    }
}
