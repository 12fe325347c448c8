package io.knapweedferry.testing.fault

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.http.RequestHandler
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer

/** HTTP admin routes of the fault proxy. */
internal class FaultRoutes(
    private val handler: RequestHandler,
    private val routes: Map<String, ProxyRoute>,
) {
    fun register(config: RoutesConfig) {
        config.get("/admin/routes") { context ->
            handler.handle(context) {
                RequestHandler.json.encodeToString(ListSerializer(RouteStatus.serializer()), routes.values.map { it.status() })
            }
        }
        registerFault(config, "cut", CutRequest.serializer(), ProxyRoute::cut)
        registerFault(config, "delay", DelayRequest.serializer()) { delay(it) }
        registerFault(config, "silence", SilenceRequest.serializer()) { silence(it) }
        config.post("$PATH/heal") { context -> changeRoute(context) { heal() } }
    }

    private fun <T> registerFault(
        config: RoutesConfig,
        name: String,
        serializer: KSerializer<T>,
        action: suspend ProxyRoute.(T) -> Unit,
    ) = config.post("$PATH/$name") { context ->
        val body = context.body().ifEmpty { "{}" }
        changeRoute(context) { action(RequestHandler.json.decodeFromString(serializer, body)) }
    }

    private fun changeRoute(
        context: Context,
        action: suspend ProxyRoute.() -> Unit,
    ) {
        val name = context.pathParam("route")
        handler.handle(context) {
            val route = routes[name] ?: throw ErrorResponseException.notFound("no route $name")
            route.action()
            RequestHandler.json.encodeToString(RouteStatus.serializer(), route.status())
        }
    }

    private companion object {
        const val PATH = "/admin/routes/{route}"
    }
}
