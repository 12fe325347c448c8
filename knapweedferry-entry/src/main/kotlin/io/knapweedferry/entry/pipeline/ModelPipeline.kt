package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.api.Answer
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.entry.observe.RequestObserver
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** Runs a model request through placement, prefill, KV transfer and decode, and retries failed attempts. */
internal class ModelPipeline(
    private val placementStage: PlacementStage,
    private val prefillStage: PrefillStage,
    private val decodeStage: DecodeStage,
    private val retries: RetryPolicy,
    private val cancelNotifier: CancelNotifier,
    private val keepAliveIntervalMs: Long,
    /** Whether to reserve decode capacity before the prefill, see [PlacementStage]. */
    private val reserveFirst: Boolean = true,
) {
    /**
     * Runs [job] and streams its tokens to [sink]. Failures are returned as outcomes; throws only on cancellation and
     * [CallerDisconnectedException].
     */
    suspend fun run(
        job: ModelJob,
        sink: AnswerSink,
        observer: RequestObserver,
        resume: ResumePoint? = null,
    ): Outcome {
        val assembler = AnswerAssembler(job.requestId, resume?.position ?: 0)
        val run = Run(job, sink, assembler, observer, resume)
        val outcome = withTimeoutOrNull(job.remainingMs().milliseconds) { runWithKeepAlive(run) } ?: timeoutOutcome(assembler)
        observer.framesDropped(assembler.droppedFrames)
        return outcome
    }

    private class Run(
        val job: ModelJob,
        val sink: AnswerSink,
        val assembler: AnswerAssembler,
        val observer: RequestObserver,
        val resume: ResumePoint?,
    )

    private suspend fun runWithKeepAlive(run: Run): Outcome =
        coroutineScope {
            val keepAlive =
                launch {
                    while (true) {
                        delay(keepAliveIntervalMs.milliseconds)
                        run.sink.keepAlive()
                    }
                }
            try {
                runAttempts(run)
            } finally {
                keepAlive.cancel()
            }
        }

    private suspend fun runAttempts(run: Run): Outcome {
        val requestRetries = retries.requestStarted()
        tryResume(run)?.let { return it }
        var maybeSubmitted = false
        var number = 1
        while (true) {
            val attempt = ModelAttempt(run.job, number, run.assembler, run.sink, run.observer)
            val error = runAttempt(attempt).fold({ it }, { return completed(run, it) })
            maybeSubmitted = maybeSubmitted || attempt.maybeSubmitted
            val outcome = finalOutcomeOrNull(requestRetries, error, run.observer)
            if (outcome != null) return reportableOutcome(outcome, maybeSubmitted)
            number++
        }
    }

    private suspend fun finalOutcomeOrNull(
        requestRetries: RetryPolicy.RequestRetries,
        error: AttemptError,
        observer: RequestObserver,
    ): Outcome? =
        when (error) {
            is AttemptError.Terminal -> error.outcome
            is AttemptError.Retryable -> requestRetries.await(error, observer::retried)
        }

    /** If any attempt may have reached an engine, a refusal of the last one must not be reported as "not run". */
    private fun reportableOutcome(
        outcome: Outcome,
        maybeSubmitted: Boolean,
    ): Outcome {
        if (!maybeSubmitted || outcome !is Outcome.NotRun) return outcome
        return Outcome.Failed(FailureReason.PARTLY_RUN, outcome.refusal.message)
    }

    private suspend fun runAttempt(attempt: ModelAttempt): Either<AttemptError, AnswerEnd> {
        var complete = false
        try {
            val end = if (reserveFirst) reserveThenPrefill(attempt) else prefillThenReserve(attempt)
            return end.onRight { complete = true }
        } finally {
            if (!complete) cancelNotifier.cancel(attempt)
        }
    }

    private suspend fun reserveThenPrefill(attempt: ModelAttempt): Either<AttemptError, AnswerEnd> =
        placementStage.place(attempt).flatMap { placement ->
            val source = if (placement.attach == null) prefillStage.prefill(attempt, placement) else Either.Right(null)
            source.flatMap { decodeStage.decode(attempt, placement, it) }
        }

    private suspend fun prefillThenReserve(attempt: ModelAttempt): Either<AttemptError, AnswerEnd> =
        prefillStage.prefill(attempt, placement = null).flatMap { source ->
            placementStage.place(attempt).flatMap { decodeStage.decode(attempt, it, source) }
        }

    /** Re-attaches to the stream that a reconnecting caller names; null if its sidecar no longer has the stream. */
    private suspend fun tryResume(run: Run): Outcome? {
        val resume = run.resume ?: return null
        val placement = placementStage.placementOf(run.job, resume) ?: return null
        val attempt = ModelAttempt(run.job, resume.attempt, run.assembler, run.sink, run.observer)
        return decodeStage.decode(attempt, placement, source = null).getOrNull()?.let { completed(run, it) }
    }

    private fun completed(
        run: Run,
        end: AnswerEnd,
    ) = Outcome.Completed(Answer.Generated(run.assembler.texts, run.job.promptTokens, end.finishReason))

    /** A timeout is always a failure, never "not run": an engine may have received the request even if it sent no token. */
    private fun timeoutOutcome(assembler: AnswerAssembler): Outcome {
        if (assembler.position == 0) return Outcome.Failed(FailureReason.DEADLINE, "the deadline passed before the first token")
        return Outcome.Failed(FailureReason.DEADLINE, "the deadline passed after ${assembler.position} tokens")
    }
}
