package io.knapweedferry.testing.standin.instance

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.testing.standin.http.RequestHandler
import kotlinx.serialization.builtins.ListSerializer

/** HTTP routes of [InstanceListStandIn]. */
internal class InstanceListRoutes(
    private val handler: RequestHandler,
    private val list: InstanceListStandIn,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/instances") { context ->
            handler.handle(context) { RequestHandler.json.encodeToString(ListSerializer(ListedInstance.serializer()), list.list()) }
        }
        routes.post("/admin/instances") { context ->
            change(context) { list.put(RequestHandler.decode(context, ListedInstance.serializer())) }
        }
        routes.post("/admin/instances/{instance}/leaving") { context ->
            val instance = context.pathParam("instance")
            change(context) { list.markLeaving(instance) }
        }
        routes.delete("/admin/instances/{instance}") { context ->
            val instance = context.pathParam("instance")
            change(context) { list.remove(instance) }
        }
    }

    private fun change(
        context: Context,
        edit: () -> Unit,
    ) = handler.handle(context) {
        edit()
        "{}"
    }
}
