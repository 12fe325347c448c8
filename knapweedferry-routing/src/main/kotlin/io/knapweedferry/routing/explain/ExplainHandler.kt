package io.knapweedferry.routing.explain

import io.javalin.http.Context
import io.knapweedferry.api.placement.PlacementReport
import io.knapweedferry.api.placement.PlacementRequest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Answers `GET /v1/explain`. No thread waits meanwhile, so that explanations can't delay the readiness check. */
internal class ExplainHandler(
    /** Evaluates the request on the event loop. */
    private val explain: (PlacementRequest) -> CompletableFuture<PlacementReport>,
) {
    fun handle(context: Context) {
        ExplainQuery.read(context::queryParam).fold(
            { context.respondProblem(STATUS_BAD_REQUEST, "invalid_query", it) },
            { request -> context.future { respond(context, request) } },
        )
    }

    private fun respond(
        context: Context,
        request: PlacementRequest,
    ): CompletableFuture<*> =
        explain(request)
            .completeOnTimeout(null, EVALUATION_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .thenAccept { report: PlacementReport? ->
                if (report == null) {
                    context.respondProblem(STATUS_UNAVAILABLE, "event_loop_busy", "the entry is too busy to explain; ask again later")
                } else {
                    context.contentType("application/json").result(json.encodeToString(PlacementReport.serializer(), report))
                }
            }

    private fun Context.respondProblem(
        status: Int,
        title: String,
        detail: String,
    ) {
        val problem =
            buildJsonObject {
                put("type", "urn:knapweedferry:problem:$title")
                put("title", title)
                put("status", status)
                put("detail", detail)
            }
        status(status).contentType("application/problem+json").result(problem.toString())
    }

    private companion object {
        val json = Json

        /** Leaves time for the response within the second that the caller waits. */
        const val EVALUATION_TIMEOUT_MS = 900L
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAVAILABLE = 503
    }
}
