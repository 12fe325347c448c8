package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.RequestId
import io.knapweedferry.config.report.ChangeExplanation
import io.knapweedferry.config.report.ConfirmReport
import io.knapweedferry.config.report.EndpointsReport
import io.knapweedferry.config.report.HistoryReport
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.settings.OperatorSettings
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.util.concurrent.Semaphore
import kotlin.time.TimeSource

/**
 * HTTP interface for operators under `/v1/operator`. Every request requires an operator's bearer token and is answered within
 * [deadlineMs] plus a short grace period, even while the log is unavailable.
 */
public class OperatorRoutes(
    private val context: OperatorContext,
    operators: List<OperatorSettings>,
    private val requestExplainer: RequestExplainer? = null,
    private val deadlineMs: Long = 5_000,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val authenticator = OperatorAuthenticator(operators)
    private val planProposer = PlanProposer(context)
    private val planConfirmer = PlanConfirmer(context)
    private val reports = StateReports(context)
    private val changeExplainer = ChangeExplainer(context.log, context.stream)

    /** Operator requests share the server's threads with callers, so only a few of them may wait for the log at a time. */
    private val requestPermits = Semaphore(MAX_CONCURRENT_REQUESTS)

    /** Registers the routes in [config]. */
    public fun register(config: JavalinConfig) {
        val routes = config.routes
        routes.post("$ROOT/intents") { ctx -> answer(ctx, PlanReport.serializer(), STATUS_CREATED, ::plan) }
        routes.post("$ROOT/plans/{id}/confirm") { ctx -> answer(ctx, ConfirmReport.serializer(), STATUS_OK, ::confirm) }
        routes.get("$ROOT/plans/{id}") { ctx -> answer(ctx, PlanReport.serializer(), STATUS_OK) { request, _, _ -> planReport(request) } }
        routes.get("$ROOT/status") { ctx -> answer(ctx, StatusReport.serializer(), STATUS_OK) { _, _, _ -> reports.status().right() } }
        routes.get("$ROOT/endpoints") { ctx ->
            answer(ctx, EndpointsReport.serializer(), STATUS_OK) { _, _, deadline -> reports.endpoints(deadline).right() }
        }
        routes.get("$ROOT/history") { ctx -> answer(ctx, HistoryReport.serializer(), STATUS_OK) { _, _, _ -> reports.history().right() } }
        routes.get("$ROOT/changes/{id}/explain") { ctx ->
            answer(ctx, ChangeExplanation.serializer(), STATUS_OK) { request, _, _ -> id(request).flatMap { changeExplainer.explain(it) } }
        }
        routes.get(
            "$ROOT/requests/{id}/explain",
        ) { ctx -> answer(ctx, JsonElement.serializer(), STATUS_OK) { request, _, _ -> explainRequest(request) } }
    }

    private suspend fun plan(
        ctx: Context,
        operator: OperatorName,
        deadline: Deadline,
    ): Either<OperatorProblem, PlanReport> =
        IntentBody
            .parse(ctx.contentType(), ctx.body(), ctx.queryParam("force") == "true")
            .flatMap { planProposer.plan(it, operator, deadline) }

    private suspend fun confirm(
        ctx: Context,
        operator: OperatorName,
        deadline: Deadline,
    ): Either<OperatorProblem, ConfirmReport> = id(ctx).flatMap { planConfirmer.confirm(it, operator, deadline) }

    /** Pending plans are in memory; all others are read from the log. */
    private suspend fun planReport(ctx: Context): Either<OperatorProblem, PlanReport> =
        id(ctx).flatMap { id ->
            val pending =
                context.follower
                    .currentState()
                    ?.pending
                    ?.firstOrNull { it.id.value == id }
            if (pending != null) {
                PlanReport(pending.id, PlanStatus.PENDING, pending.operator, pending.atMs, pending.plan).right()
            } else {
                changeExplainer.explain(id).map { it.proposal }
            }
        }

    private suspend fun explainRequest(ctx: Context): Either<OperatorProblem, JsonElement> {
        val explainer = requestExplainer ?: return Problems.explanationsOff().left()
        val id = ctx.pathParam("id")
        return explainer.explain(RequestId(id)).mapLeft { Problems.logUnavailable(it) }.flatMap {
            it?.right() ?: Problems.unknownRequest(id).left()
        }
    }

    private fun id(ctx: Context): Either<OperatorProblem, Long> {
        val text = ctx.pathParam("id")
        return text.toLongOrNull()?.takeIf { it >= 0 }?.right() ?: Problems.invalidId(text).left()
    }

    private fun <T> answer(
        ctx: Context,
        serializer: KSerializer<T>,
        status: Int,
        handle: suspend (Context, OperatorName, Deadline) -> Either<OperatorProblem, T>,
    ) {
        val result =
            authenticated(ctx).flatMap { operator ->
                if (!requestPermits.tryAcquire()) return@flatMap Problems.busy().left()
                try {
                    run(ctx, operator, handle)
                } finally {
                    requestPermits.release()
                }
            }
        result.fold(
            ifLeft = { write(ctx, it.status, "application/problem+json", json.encodeToString(OperatorProblem.serializer(), it)) },
            ifRight = { write(ctx, status, "application/json", json.encodeToString(serializer, it)) },
        )
    }

    private fun authenticated(ctx: Context): Either<OperatorProblem, OperatorName> {
        authenticator.authenticate(ctx.header("Authorization"))?.let { return it.right() }
        ctx.header("WWW-Authenticate", "Bearer")
        return Problems.unauthenticated().left()
    }

    private fun <T> run(
        ctx: Context,
        operator: OperatorName,
        handle: suspend (Context, OperatorName, Deadline) -> Either<OperatorProblem, T>,
    ): Either<OperatorProblem, T> =
        runBlocking {
            // Handlers observe the deadline and report what was recorded; this longer timeout covers everything else.
            withTimeoutOrNull(deadlineMs + HANDLER_GRACE_MS) { handle(ctx, operator, Deadline(timeSource, deadlineMs)) }
        }
            ?: (
                if (ctx.method().name == "GET") {
                    Problems.logUnavailable(null)
                } else {
                    Problems.outcomeUnknown("check the history before repeating the request")
                }
            ).left()

    private fun write(
        ctx: Context,
        status: Int,
        contentType: String,
        body: String,
    ) {
        ctx.status(status).contentType(contentType).result(body)
    }

    private companion object {
        const val ROOT = "/v1/operator"
        const val STATUS_OK = 200
        const val STATUS_CREATED = 201
        const val MAX_CONCURRENT_REQUESTS = 16
        const val HANDLER_GRACE_MS = 500L

        val json =
            Json {
                encodeDefaults = true
                explicitNulls = false
            }
    }
}
