package io.knapweedferry.testing.standin.weight

import io.javalin.config.RoutesConfig
import io.knapweedferry.platform.weight.WeightInfo
import io.knapweedferry.testing.standin.http.Calls

/** HTTP side of [WeightStoreStandIn]. */
internal class WeightRoutes(
    private val calls: Calls,
    private val store: WeightStoreStandIn,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/models/{model}/versions/{version}") { context ->
            val model = context.pathParam("model")
            val version = context.pathParam("version")
            calls.answer(context) { Calls.json.encodeToString(WeightInfo.serializer(), store.describe(model, version)) }
        }
    }
}
