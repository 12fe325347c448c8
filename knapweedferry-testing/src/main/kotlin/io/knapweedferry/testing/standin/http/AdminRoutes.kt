package io.knapweedferry.testing.standin.http

import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** Admin routes for the faults and statistics of all stand-ins, selected by the port of the request. */
internal class AdminRoutes(
    private val handler: RequestHandler,
    private val targets: Map<String, AdminTarget<*, *>>,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/admin/faults") { context -> handler.handle(context) { faults(target(context)) } }
        routes.post("/admin/faults") { context ->
            val body = context.body()
            handler.handle(context) { setFaults(target(context), body) }
        }
        routes.get("/admin/ledger") { context -> handler.handle(context) { statistics(target(context)) } }
    }

    private fun target(context: Context): AdminTarget<*, *> =
        targets[RequestHandler.standInName(context.req())] ?: throw ErrorResponseException.notFound("no stand-in on this port")

    private fun <F : Any> faults(target: AdminTarget<F, *>): String =
        RequestHandler.json.encodeToString(target.faultsSerializer, target.faults)

    private fun <F : Any> setFaults(
        target: AdminTarget<F, *>,
        body: String,
    ): String {
        target.faults = RequestHandler.json.decodeFromString(target.faultsSerializer, body)
        return faults(target)
    }

    private suspend fun <S : Any> statistics(target: AdminTarget<*, S>): String =
        RequestHandler.json.encodeToString(target.statisticsSerializer, target.statistics())
}
