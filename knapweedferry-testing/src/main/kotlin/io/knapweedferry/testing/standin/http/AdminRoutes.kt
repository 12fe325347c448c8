package io.knapweedferry.testing.standin.http

import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** Faults and ledger of every stand-in, chosen by the port of the request. */
internal class AdminRoutes(
    private val calls: Calls,
    private val admins: Map<String, Admin<*, *>>,
) {
    fun register(routes: RoutesConfig) {
        routes.get("/admin/faults") { context -> calls.answer(context) { faults(admin(context)) } }
        routes.post("/admin/faults") { context ->
            val body = context.body()
            calls.answer(context) { setFaults(admin(context), body) }
        }
        routes.get("/admin/ledger") { context -> calls.answer(context) { ledger(admin(context)) } }
    }

    private fun admin(context: Context): Admin<*, *> =
        admins[Calls.standIn(context.req())] ?: throw StandInFailure.notFound("no stand-in on this port")

    private fun <F : Any> faults(admin: Admin<F, *>): String = Calls.json.encodeToString(admin.faultsSerializer, admin.faults)

    private fun <F : Any> setFaults(
        admin: Admin<F, *>,
        body: String,
    ): String {
        admin.faults = Calls.json.decodeFromString(admin.faultsSerializer, body)
        return faults(admin)
    }

    private suspend fun <L : Any> ledger(admin: Admin<*, L>): String = Calls.json.encodeToString(admin.ledgerSerializer, admin.ledger())
}
