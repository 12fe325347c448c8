package io.knapweedferry.testing.standin.weight

import io.javalin.config.RoutesConfig
import io.knapweedferry.platform.weight.WeightInfo
import io.knapweedferry.testing.standin.http.RequestHandler

/** HTTP routes of [WeightStoreStandIn]. */
internal class WeightStoreRoutes(
    private val handler: RequestHandler,
    private val store: WeightStoreStandIn,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/models/{model}/versions/{version}") { context ->
            val model = context.pathParam("model")
            val version = context.pathParam("version")
            handler.handle(context) { RequestHandler.json.encodeToString(WeightInfo.serializer(), store.describe(model, version)) }
        }
    }
}
