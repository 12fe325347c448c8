package io.knapweedferry.testing.standin.http

import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** Admin routes for the faults and statistics of all stand-ins, selected by the port of the request. */
internal class AdminRoutes(
    private val handler: RequestHandler,
    private val admins: Map<String, AdminTarget<*, *>>,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/admin/faults") { context -> handler.handle(context) { faults(admin(context)) } }
        routes.post("/admin/faults") { context ->
            val body = context.body()
            handler.handle(context) { setFaults(admin(context), body) }
        }
        routes.get("/admin/ledger") { context -> handler.handle(context) { statistics(admin(context)) } }
    }

    private fun admin(context: Context): AdminTarget<*, *> =
        admins[RequestHandler.standInName(context.req())] ?: throw ErrorResponseException.notFound("no stand-in on this port")

    private fun <F : Any> faults(admin: AdminTarget<F, *>): String =
        RequestHandler.json.encodeToString(admin.faultsSerializer, admin.faults)

    private fun <F : Any> setFaults(
        admin: AdminTarget<F, *>,
        body: String,
    ): String {
        admin.faults = RequestHandler.json.decodeFromString(admin.faultsSerializer, body)
        return faults(admin)
    }

    private suspend fun <L : Any> statistics(admin: AdminTarget<*, L>): String =
        RequestHandler.json.encodeToString(admin.statisticsSerializer, admin.statistics())
}
