package io.knapweedferry.entry.http

import arrow.core.Either
import arrow.core.flatMap
import io.javalin.http.Context
import io.javalin.http.Handler
import io.knapweedferry.api.Answer
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.entry.pipeline.Authenticator
import io.knapweedferry.entry.pipeline.CallerGoneException
import io.knapweedferry.entry.pipeline.CallerRequest
import io.knapweedferry.entry.pipeline.ChatClassifier
import io.knapweedferry.entry.pipeline.InFlightLimit
import io.knapweedferry.entry.pipeline.ModelJob
import io.knapweedferry.entry.pipeline.ModelPipeline
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.time.InstantSource

/** `POST /v1/chat/completions`. The handler's thread belongs to the request until its answer is written. */
internal class ChatRoute(
    private val config: ConfigSource,
    private val authenticator: Authenticator,
    private val classifier: ChatClassifier,
    private val limit: InFlightLimit,
    private val pipeline: ModelPipeline,
    private val clock: InstantSource,
) : Handler {
    override fun handle(ctx: Context) {
        val request = CallerRequests.read(ctx)
        val job = limit.enter().flatMap { classified(request).onLeft { limit.leave() } }
        job.fold(
            { ProblemResponse.write(ctx, ProblemDetail.of(it, request.requestId)) },
            {
                try {
                    if (it.stream) stream(ctx, it) else whole(ctx, it)
                } finally {
                    limit.leave()
                }
            },
        )
    }

    private fun classified(request: CallerRequest): Either<Refusal, ModelJob> {
        val snapshot = config.current() ?: return Either.Left(Refusal(RefusalReason.NOT_READY))
        return authenticator
            .authenticate(request.bearerToken, snapshot)
            .flatMap { classifier.classify(request.requestId, it, request.body, snapshot) }
    }

    private fun stream(
        ctx: Context,
        job: ModelJob,
    ) {
        val sink = EventStreamSink(ctx, job, clock.millis() / MS_PER_SECOND)
        try {
            val outcome = runBlocking { pipeline.run(job, sink) }
            val problem = ProblemDetail.of(outcome, job.requestId)
            when {
                problem == null -> sink.finish(generated(outcome).finishReason)
                sink.started -> sink.fail(problem)
                else -> ProblemResponse.write(ctx, problem)
            }
        } catch (gone: CallerGoneException) {
            abandoned(gone)
        }
    }

    private fun whole(
        ctx: Context,
        job: ModelJob,
    ) {
        val outcome = runBlocking { pipeline.run(job, CollectingSink) }
        val problem = ProblemDetail.of(outcome, job.requestId)
        if (problem != null) return ProblemResponse.write(ctx, problem)
        ctx.contentType("application/json").result(Json.encodeToString(completion(job, generated(outcome))))
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

    private fun generated(outcome: Outcome): Answer.Generated = (outcome as Outcome.Completed).answer as Answer.Generated

    /** Nobody is left to tell; the pipeline already cancelled what it held. */
    private fun abandoned(gone: CallerGoneException): FailureReason = FailureReason.CANCELLED.also { gone.cause }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
