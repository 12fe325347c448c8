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

/** Runs a model request through place, prefill, transfer and decode, with new attempts where that is safe. */
internal class ModelPipeline(
    private val place: PlaceStage,
    private val prefill: PrefillStage,
    private val decode: DecodeStage,
    private val retries: RetryRule,
    private val cancels: CancelNotifier,
    private val keepAliveMs: Long,
    private val reserveFirst: Boolean = true,
) {
    /** Runs [job]; tokens go to [sink] as they come. Never throws except for cancellation. */
    suspend fun run(
        job: ModelJob,
        sink: AnswerSink,
        observer: RequestObserver,
        resume: ResumePoint? = null,
    ): Outcome {
        val assembler = AnswerAssembler(job.requestId, resume?.position ?: 0)
        val run = Run(job, sink, assembler, observer, resume)
        val outcome = withTimeoutOrNull(job.deadlineMs().milliseconds) { withKeepAlive(run) } ?: timedOut(assembler)
        observer.droppedFrames(assembler.droppedFrames)
        return outcome
    }

    private class Run(
        val job: ModelJob,
        val sink: AnswerSink,
        val assembler: AnswerAssembler,
        val observer: RequestObserver,
        val resume: ResumePoint?,
    )

    private suspend fun withKeepAlive(run: Run): Outcome =
        coroutineScope {
            val keepAlive =
                launch {
                    while (true) {
                        delay(keepAliveMs.milliseconds)
                        run.sink.keepAlive()
                    }
                }
            try {
                attempts(run)
            } finally {
                keepAlive.cancel()
            }
        }

    private suspend fun attempts(run: Run): Outcome {
        retries.requestStarted()
        resumed(run)?.let { return it }
        var submitted = false
        var number = 1
        while (true) {
            val attempt = ModelAttempt(run.job, number, run.assembler, run.sink, run.observer)
            val end = runOnce(attempt).fold({ it }, { return completed(run, it) })
            submitted = submitted || attempt.submitted
            val outcome = outcomeIfOver(number, end, run.observer)
            if (outcome != null) return truthful(outcome, submitted)
            number++
        }
    }

    private suspend fun outcomeIfOver(
        number: Int,
        end: AttemptEnd,
        observer: RequestObserver,
    ): Outcome? =
        when (end) {
            is AttemptEnd.Final -> end.outcome
            is AttemptEnd.Retry -> retries.mayRetry(number, end, observer)
        }

    /** A refusal of the last attempt does not undo what an earlier one submitted. */
    private fun truthful(
        outcome: Outcome,
        submitted: Boolean,
    ): Outcome {
        if (!submitted || outcome !is Outcome.NotRun) return outcome
        return Outcome.Failed(FailureReason.PARTLY_RUN, outcome.refusal.message)
    }

    private suspend fun runOnce(attempt: ModelAttempt): Either<AttemptEnd, AnswerEnd> {
        var whole = false
        try {
            val end = if (reserveFirst) reserveThenPrefill(attempt) else prefillThenReserve(attempt)
            return end.onRight { whole = true }
        } finally {
            if (!whole) cancels.cancel(attempt)
        }
    }

    private suspend fun reserveThenPrefill(attempt: ModelAttempt): Either<AttemptEnd, AnswerEnd> =
        place.place(attempt).flatMap { placement ->
            val source = if (placement.attach == null) prefill.prefill(attempt, placement) else Either.Right(null)
            source.flatMap { decode.decode(attempt, placement, it) }
        }

    private suspend fun prefillThenReserve(attempt: ModelAttempt): Either<AttemptEnd, AnswerEnd> =
        prefill.prefill(attempt, placement = null).flatMap { source ->
            place.place(attempt).flatMap { decode.decode(attempt, it, source) }
        }

    /** Takes up the stream that a caller names who comes back; null if its sidecar no longer has it. */
    private suspend fun resumed(run: Run): Outcome? {
        val resume = run.resume ?: return null
        val placement = place.placementOf(run.job, resume) ?: return null
        val attempt = ModelAttempt(run.job, resume.attempt, run.assembler, run.sink, run.observer)
        return decode.decode(attempt, placement, source = null).getOrNull()?.let { completed(run, it) }
    }

    private fun completed(
        run: Run,
        end: AnswerEnd,
    ) = Outcome.Completed(Answer.Generated(run.assembler.texts, run.job.promptTokens, end.finishReason))

    /** Model work has no effect that must not repeat, so only a request without any token is reported as refused. */
    private fun timedOut(assembler: AnswerAssembler): Outcome {
        if (assembler.position == 0) return Outcome.Failed(FailureReason.DEADLINE, "no token before the deadline")
        return Outcome.Failed(FailureReason.DEADLINE, "${assembler.position} tokens before the deadline")
    }
}
