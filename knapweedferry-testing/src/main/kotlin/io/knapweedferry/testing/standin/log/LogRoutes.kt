package io.knapweedferry.testing.standin.log

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.knapweedferry.platform.log.AppendReply
import io.knapweedferry.platform.log.AppendRequest
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.testing.standin.http.RequestHandler

/** HTTP routes of [LogStandIn]. */
internal class LogRoutes(
    private val handler: RequestHandler,
    private val log: LogStandIn,
) {
    fun register(routes: RoutesConfig) {
        routes.post(PATH) { context ->
            val stream = context.pathParam("stream")
            handler.handle(context) {
                val request = RequestHandler.decode(context, AppendRequest.serializer())
                RequestHandler.json.encodeToString(AppendReply.serializer(), log.append(stream, request))
            }
        }
        routes.get(PATH) { context ->
            val stream = context.pathParam("stream")
            val from = longParam(context, "from", 0)
            val max = longParam(context, "max", MAX_RECORDS).coerceAtMost(MAX_RECORDS).toInt()
            val waitMs = longParam(context, "wait_ms", 0)
            handler.handle(context) { RequestHandler.json.encodeToString(LogPage.serializer(), log.read(stream, from, max, waitMs)) }
        }
    }

    private fun longParam(
        context: Context,
        name: String,
        default: Long,
    ): Long = context.queryParam(name)?.toLongOrNull() ?: default

    private companion object {
        const val PATH = "/streams/{stream}/records"
        const val MAX_RECORDS = 5_000L
    }
}
