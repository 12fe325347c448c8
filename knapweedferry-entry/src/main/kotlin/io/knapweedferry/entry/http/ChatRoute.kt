package io.knapweedferry.entry.http

import arrow.core.Either
import arrow.core.flatMap
import io.javalin.http.Context
import io.javalin.http.Handler
import io.knapweedferry.api.Answer
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.entry.observe.LatencyMeasuringSink
import io.knapweedferry.entry.observe.RequestObserver
import io.knapweedferry.entry.observe.RequestObserverFactory
import io.knapweedferry.entry.pipeline.Authenticator
import io.knapweedferry.entry.pipeline.CallerDisconnectedException
import io.knapweedferry.entry.pipeline.CallerRequest
import io.knapweedferry.entry.pipeline.ChatClassifier
import io.knapweedferry.entry.pipeline.InFlightLimit
import io.knapweedferry.entry.pipeline.ModelJob
import io.knapweedferry.entry.pipeline.ModelPipeline
import io.knapweedferry.entry.pipeline.ResumePoint
import io.knapweedferry.telemetry.RequestKind
import io.knapweedferry.telemetry.TraceStage
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.time.InstantSource

/** `POST /v1/chat/completions`. Blocks the handler's thread until the answer is written. */
internal class ChatRoute(
    private val config: ConfigSource,
    private val authenticator: Authenticator,
    private val classifier: ChatClassifier,
    private val inFlightLimit: InFlightLimit,
    private val pipeline: ModelPipeline,
    private val observerFactory: RequestObserverFactory,
    private val clock: InstantSource,
) : Handler {
    override fun handle(ctx: Context) {
        val request = CallerRequestReader.read(ctx)
        val observer = observerFactory.start(request.requestId)
        val admitted = classify(request, observer).flatMap { job -> inFlightLimit.tryAdmit(job.rank).map { job to it } }
        admitted.fold(
            { refuse(ctx, request, it, observer) },
            { (job, permit) -> permit.use { answer(ctx, request, job, observer) } },
        )
    }

    private fun answer(
        ctx: Context,
        request: CallerRequest,
        job: ModelJob,
        observer: RequestObserver,
    ) {
        try {
            if (job.stream) respondWithStream(ctx, request, job, observer) else respondWithCompletion(ctx, job, observer)
        } catch (_: CallerDisconnectedException) {
            observer.callerDisconnected()
        }
    }

    private fun refuse(
        ctx: Context,
        request: CallerRequest,
        refusal: Refusal,
        observer: RequestObserver,
    ) {
        observer.refused(Outcome.NotRun(refusal))
        ProblemResponse.write(ctx, ProblemDetail.of(refusal, request.requestId))
    }

    private fun classify(
        request: CallerRequest,
        observer: RequestObserver,
    ): Either<Refusal, ModelJob> {
        val snapshot = config.current() ?: return Either.Left(Refusal(RefusalReason.NOT_READY))
        return authenticator
            .authenticate(request.bearerToken, snapshot)
            .onRight(observer::authenticated)
            .flatMap { classifier.classify(request.requestId, it, request.body, snapshot) }
            .onRight { traceClassification(it, observer, snapshot) }
    }

    private fun traceClassification(
        job: ModelJob,
        observer: RequestObserver,
        snapshot: ConfigSnapshot,
    ) {
        observer.recordDecision(
            TraceStage.CLASSIFY,
            "accepted",
            "",
            "model" to job.model.value,
            "rank" to job.rank,
            "prompt_tokens" to job.promptTokens,
            "max_output_tokens" to job.maxOutputTokens,
            "revision" to snapshot.revision.value,
        )
    }

    private fun recordOutcome(
        job: ModelJob,
        outcome: Outcome,
        observer: RequestObserver,
    ) {
        observer.finished(
            RequestKind.MODEL,
            job.rank,
            outcome,
            config
                .current()
                ?.state
                ?.ranks
                ?.get(job.rank),
        )
    }

    private fun respondWithStream(
        ctx: Context,
        request: CallerRequest,
        job: ModelJob,
        observer: RequestObserver,
    ) {
        val sink = EventStreamSink(ctx, job, clock.millis() / MS_PER_SECOND)
        val resume = request.lastEventId?.let(ResumePoint::parse)
        val outcome = runBlocking { pipeline.run(job, LatencyMeasuringSink(sink, observer, job.rank), observer, resume) }
        val problem = ProblemDetail.of(outcome, job.requestId)
        when {
            problem == null -> sink.finish(generatedAnswer(outcome).finishReason)
            sink.started -> sink.fail(problem)
            else -> ProblemResponse.write(ctx, problem)
        }
        recordOutcome(job, outcome, observer)
    }

    private fun respondWithCompletion(
        ctx: Context,
        job: ModelJob,
        observer: RequestObserver,
    ) {
        val outcome = runBlocking { pipeline.run(job, LatencyMeasuringSink(NonStreamingSink(ctx), observer, job.rank), observer) }
        recordOutcome(job, outcome, observer)
        val problem = ProblemDetail.of(outcome, job.requestId)
        if (problem != null) return ProblemResponse.write(ctx, problem)
        ctx.contentType("application/json").result(Json.encodeToString(completion(job, generatedAnswer(outcome))))
    }

    private fun completion(
        job: ModelJob,
        answer: Answer.Generated,
    ) = ChatCompletion(
        id = job.requestId.value,
        created = clock.millis() / MS_PER_SECOND,
        model = job.model.value,
        choices = listOf(ChatCompletion.Choice(0, ChatCompletion.Message("assistant", answer.texts.joinToString("")), answer.finishReason)),
        usage = ChatCompletion.Usage(answer.promptTokens, answer.texts.size, answer.promptTokens + answer.texts.size),
    )

    private fun generatedAnswer(outcome: Outcome): Answer.Generated = (outcome as Outcome.Completed).answer as Answer.Generated

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
