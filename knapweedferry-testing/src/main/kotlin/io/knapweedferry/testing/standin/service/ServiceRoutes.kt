package io.knapweedferry.testing.standin.service

import io.javalin.config.RoutesConfig
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.http.RequestHandler

/** HTTP routes of all [ServiceStandIn]s, selected by the port of the request. */
internal class ServiceRoutes(
    private val handler: RequestHandler,
    private val services: Map<String, ServiceStandIn>,
) {
    fun register(routes: RoutesConfig) {
        routes.post("/services/{service}/operations/{operation}") { context ->
            val call =
                ServiceCall(
                    operation = context.pathParam("operation"),
                    requestId = context.header("X-Request-Id"),
                    idempotencyKey = context.header("Idempotency-Key"),
                    body = context.body(),
                )
            val name = RequestHandler.standInName(context.req())
            handler.handle(context) {
                val service = services[name] ?: throw ErrorResponseException.notFound("no service on this port")
                RequestHandler.json.encodeToString(ServiceAnswer.serializer(), service.execute(call))
            }
        }
    }
}
