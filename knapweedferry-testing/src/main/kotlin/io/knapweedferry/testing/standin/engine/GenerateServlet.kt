package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.testing.standin.http.DroppedConnectionException
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.http.RequestHandler
import jakarta.servlet.AsyncContext
import jakarta.servlet.http.HttpServlet
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException

/**
 * Serves `POST /generate`. Bypasses Javalin, whose futures write to the response once more on completion; that write fails
 * if the connection of the stream has broken in the meantime.
 */
internal class GenerateServlet(
    private val scope: CoroutineScope,
    private val engines: Map<String, EngineStandIn>,
) : HttpServlet() {
    override fun doPost(
        request: HttpServletRequest,
        response: HttpServletResponse,
    ) {
        val body = request.inputStream.readBytes().decodeToString()
        val async = request.startAsync()
        // No timeout: a stream may last as long as its answer takes.
        async.timeout = 0
        scope.launch { generate(async, body) }
    }

    private suspend fun generate(
        async: AsyncContext,
        body: String,
    ) {
        val request = async.request as HttpServletRequest
        try {
            val order = RequestHandler.json.decodeFromString(GenerateRequest.serializer(), body)
            val engine = engines[RequestHandler.standInName(request)] ?: throw ErrorResponseException.notFound("no engine on this port")
            val sink = NdjsonSink(async, engine::disconnected)
            engine.generate(order, sink)
            sink.open()
        } catch (e: ErrorResponseException) {
            fail(async, e)
        } catch (e: SerializationException) {
            fail(async, ErrorResponseException.badRequest(e))
        } catch (_: DroppedConnectionException) {
            RequestHandler.closeConnection(request)
            async.complete()
        }
    }

    private fun fail(
        async: AsyncContext,
        failure: ErrorResponseException,
    ) {
        val response = async.response as HttpServletResponse
        response.status = failure.status
        response.contentType = "application/json"
        response.outputStream.write(failure.body().encodeToByteArray())
        async.complete()
    }

    private companion object {
        const val serialVersionUID = 1L
    }
}
