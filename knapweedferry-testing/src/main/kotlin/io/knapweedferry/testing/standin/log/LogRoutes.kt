package io.knapweedferry.testing.standin.log

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.knapweedferry.platform.log.AppendReply
import io.knapweedferry.platform.log.AppendRequest
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.testing.standin.http.Calls

/** HTTP side of [LogStandIn]. */
internal class LogRoutes(
    private val calls: Calls,
    private val log: LogStandIn,
) {
    fun register(routes: RoutesConfig) {
        routes.post(PATH) { context ->
            val stream = context.pathParam("stream")
            calls.answer(context) {
                val request = Calls.decode(context, AppendRequest.serializer())
                Calls.json.encodeToString(AppendReply.serializer(), log.append(stream, request))
            }
        }
        routes.get(PATH) { context ->
            val stream = context.pathParam("stream")
            val from = number(context, "from", 0)
            val max = number(context, "max", MAX_RECORDS).coerceAtMost(MAX_RECORDS).toInt()
            val waitMs = number(context, "wait_ms", 0)
            calls.answer(context) { Calls.json.encodeToString(LogPage.serializer(), log.read(stream, from, max, waitMs)) }
        }
    }

    private fun number(
        context: Context,
        name: String,
        default: Long,
    ): Long = context.queryParam(name)?.toLongOrNull() ?: default

    private companion object {
        const val PATH = "/streams/{stream}/records"
        const val MAX_RECORDS = 5_000L
    }
}
