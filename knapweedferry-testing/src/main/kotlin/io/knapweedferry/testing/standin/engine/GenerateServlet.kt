package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.testing.standin.http.Calls
import io.knapweedferry.testing.standin.http.LostAnswer
import io.knapweedferry.testing.standin.http.StandInFailure
import jakarta.servlet.AsyncContext
import jakarta.servlet.http.HttpServlet
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException

/**
 * Serves `POST /generate`. Besides Javalin, because its futures write to the response once more when they complete, which
 * fails for a stream whose connection broke meanwhile.
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
        // A stream lasts as long as its answer.
        async.timeout = 0
        scope.launch { generate(async, body) }
    }

    private suspend fun generate(
        async: AsyncContext,
        body: String,
    ) {
        val request = async.request as HttpServletRequest
        try {
            val order = Calls.json.decodeFromString(GenerateOrder.serializer(), body)
            val engine = engines[Calls.standIn(request)] ?: throw StandInFailure.notFound("no engine on this port")
            val sink = NdjsonSink(async, engine::disconnected)
            engine.generate(order, sink)
            sink.open()
        } catch (e: StandInFailure) {
            fail(async, e)
        } catch (e: SerializationException) {
            fail(async, StandInFailure.badRequest(e))
        } catch (_: LostAnswer) {
            Calls.cut(request)
            async.complete()
        }
    }

    private fun fail(
        async: AsyncContext,
        failure: StandInFailure,
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
