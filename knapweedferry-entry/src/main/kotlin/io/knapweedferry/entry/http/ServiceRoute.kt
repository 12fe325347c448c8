package io.knapweedferry.entry.http

import arrow.core.Either
import arrow.core.flatMap
import io.javalin.http.Context
import io.javalin.http.Handler
import io.knapweedferry.api.Answer
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.entry.observe.RequestObserver
import io.knapweedferry.entry.observe.RequestObserverFactory
import io.knapweedferry.entry.pipeline.Authenticator
import io.knapweedferry.entry.pipeline.CallerRequest
import io.knapweedferry.entry.pipeline.InFlightLimit
import io.knapweedferry.entry.pipeline.ServiceClassifier
import io.knapweedferry.entry.pipeline.ServiceJob
import io.knapweedferry.entry.pipeline.ServicePipeline
import io.knapweedferry.telemetry.RequestKind
import kotlinx.coroutines.runBlocking

/** `POST /v1/services/{service}/{operation}`. Blocks the handler's thread until the answer is written. */
internal class ServiceRoute(
    private val config: ConfigSource,
    private val authenticator: Authenticator,
    private val classifier: ServiceClassifier,
    private val inFlightLimit: InFlightLimit,
    private val pipeline: ServicePipeline,
    private val observerFactory: RequestObserverFactory,
) : Handler {
    override fun handle(ctx: Context) {
        val request = CallerRequestReader.read(ctx)
        val service = ServiceName(ctx.pathParam("service"))
        val operation = OperationName(ctx.pathParam("operation"))
        val observer = observerFactory.start(request.requestId)
        val admitted = classify(request, service, operation, observer).flatMap { job -> inFlightLimit.tryAdmit(job.rank).map { job to it } }
        admitted.fold(
            {
                observer.refused(Outcome.NotRun(it))
                ProblemResponse.write(ctx, ProblemDetail.of(it, request.requestId))
            },
            { (job, permit) -> permit.use { answer(ctx, job, observer) } },
        )
    }

    private fun classify(
        request: CallerRequest,
        service: ServiceName,
        operation: OperationName,
        observer: RequestObserver,
    ): Either<Refusal, ServiceJob> {
        val snapshot = config.current() ?: return Either.Left(Refusal(RefusalReason.NOT_READY))
        return authenticator
            .authenticate(request.bearerToken, snapshot)
            .onRight(observer::authenticated)
            .flatMap { classifier.classify(request, it, service, operation, snapshot) }
    }

    private fun answer(
        ctx: Context,
        job: ServiceJob,
        observer: RequestObserver,
    ) {
        val outcome = runBlocking { pipeline.run(job, observer) }
        observer.finished(RequestKind.SERVICE, job.rank, outcome, targets = null)
        val problem = ProblemDetail.of(outcome, job.requestId)
        if (problem != null) return ProblemResponse.write(ctx, problem)
        val reply = (outcome as Outcome.Completed).answer as Answer.ServiceReply
        ctx.status(reply.status).contentType(reply.contentType).result(reply.body)
    }
}
