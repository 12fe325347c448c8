package io.knapweedferry.testing.standin.service

import io.javalin.config.RoutesConfig
import io.knapweedferry.testing.standin.http.Calls
import io.knapweedferry.testing.standin.http.StandInFailure

/** HTTP side of all [ServiceStandIn]s, chosen by the port of the request. */
internal class ServiceRoutes(
    private val calls: Calls,
    private val services: Map<String, ServiceStandIn>,
) {
    fun register(routes: RoutesConfig) {
        routes.post("/services/{service}/operations/{operation}") { context ->
            val call =
                ServiceCall(
                    operation = context.pathParam("operation"),
                    requestId = context.header("X-Request-Id"),
                    key = context.header("Idempotency-Key"),
                    body = context.body(),
                )
            val name = Calls.standIn(context.req())
            calls.answer(context) {
                val service = services[name] ?: throw StandInFailure.notFound("no service on this port")
                Calls.json.encodeToString(ServiceAnswer.serializer(), service.execute(call))
            }
        }
    }
}
