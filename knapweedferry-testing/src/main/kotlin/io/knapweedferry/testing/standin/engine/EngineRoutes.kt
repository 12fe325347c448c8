package io.knapweedferry.testing.standin.engine

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.knapweedferry.platform.engine.CacheEvent
import io.knapweedferry.platform.engine.CancelRequest
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.platform.engine.ReleaseRequest
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.http.RequestHandler
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer

/** HTTP routes of all [EngineStandIn]s, selected by the port of the request; [GenerateServlet] serves the streams. */
internal class EngineRoutes(
    private val handler: RequestHandler,
    private val engines: Map<String, EngineStandIn>,
) {
    fun register(routes: RoutesConfig) {
        post(routes, "/prefill", PrefillRequest.serializer(), PrefillResult.serializer(), EngineStandIn::prefill)
        command(routes, "/import", ImportRequest.serializer(), EngineStandIn::importKv)
        command(routes, "/cancel", CancelRequest.serializer()) { cancel(it.id.value) }
        command(routes, "/release", ReleaseRequest.serializer()) { release(it.handle) }
        command(routes, "/orders", EngineCommand.serializer(), EngineStandIn::order)
        get(routes, "/held", ListSerializer(String.serializer())) { held() }
        get(routes, "/load", EngineLoad.serializer()) { load() }
        get(routes, "/cache-events", ListSerializer(CacheEvent.serializer())) { cacheEvents(it.queryParam("after")?.toLongOrNull() ?: 0) }
        routes.post("/admin/crash") { context ->
            handler.handle(context) {
                engine(context).crash()
                "{}"
            }
        }
    }

    private fun <I, O> post(
        routes: RoutesConfig,
        path: String,
        input: KSerializer<I>,
        output: KSerializer<O>,
        action: suspend EngineStandIn.(I) -> O,
    ) = routes.post(path) { context ->
        handler.handle(context) {
            val order = RequestHandler.decode(context, input)
            RequestHandler.json.encodeToString(output, engine(context).action(order))
        }
    }

    private fun <I> command(
        routes: RoutesConfig,
        path: String,
        input: KSerializer<I>,
        action: suspend EngineStandIn.(I) -> Unit,
    ) = routes.post(path) { context ->
        handler.handle(context) {
            engine(context).action(RequestHandler.decode(context, input))
            "{}"
        }
    }

    private fun <O> get(
        routes: RoutesConfig,
        path: String,
        output: KSerializer<O>,
        action: suspend EngineStandIn.(Context) -> O,
    ) = routes.get(path) { context ->
        handler.handle(context) { RequestHandler.json.encodeToString(output, engine(context).action(context)) }
    }

    private fun engine(context: Context): EngineStandIn =
        engines[RequestHandler.standInName(context.req())] ?: throw ErrorResponseException.notFound("no engine on this port")
}
