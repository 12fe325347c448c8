package io.knapweedferry.entry.http

import io.javalin.http.Context
import kotlinx.serialization.json.Json

/** Writes problem details as the response, which must not have started. */
internal object ProblemResponse {
    private const val MS_PER_SECOND = 1_000

    fun write(
        context: Context,
        problem: ProblemDetail,
    ) {
        problem.retryAfterMs?.let { context.header("Retry-After", ((it + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()) }
        context.status(problem.status)
        context.contentType("application/problem+json")
        context.result(Json.encodeToString(problem))
    }
}
