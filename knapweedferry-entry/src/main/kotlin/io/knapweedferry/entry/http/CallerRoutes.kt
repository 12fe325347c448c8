package io.knapweedferry.entry.http

import io.javalin.config.JavalinConfig

/** Routes of the API for callers. */
internal class CallerRoutes(
    private val chat: ChatRoute,
    private val services: ServiceRoute,
    private val models: ModelsRoute,
) : RouteGroup {
    override fun register(config: JavalinConfig) {
        config.routes.post("/v1/chat/completions", chat)
        config.routes.post("/v1/services/{service}/{operation}", services)
        config.routes.get("/v1/models", models)
    }
}
