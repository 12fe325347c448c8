package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.api.Answer
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.message.AnswerEnd
import kotlinx.coroutines.CancellationException
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
) {
    /** Runs [job]; tokens go to [sink] as they come. Never throws except for cancellation. */
    suspend fun run(
        job: ModelJob,
        sink: AnswerSink,
        fromPosition: Int = 0,
    ): Outcome {
        val assembler = AnswerAssembler(job.requestId, fromPosition)
        return withTimeoutOrNull(job.deadlineMs().milliseconds) { runAttempts(job, sink, assembler) } ?: timedOut(assembler)
    }

    private suspend fun runAttempts(
        job: ModelJob,
        sink: AnswerSink,
        assembler: AnswerAssembler,
    ): Outcome =
        coroutineScope {
            val keepAlive =
                launch {
                    while (true) {
                        delay(keepAliveMs.milliseconds)
                        sink.keepAlive()
                    }
                }
            try {
                attempts(job, sink, assembler)
            } finally {
                keepAlive.cancel()
            }
        }

    private suspend fun attempts(
        job: ModelJob,
        sink: AnswerSink,
        assembler: AnswerAssembler,
    ): Outcome {
        retries.requestStarted()
        var submitted = false
        var number = 1
        while (true) {
            val attempt = ModelAttempt(job, number, assembler, sink)
            val end = runOnce(attempt).fold({ it }, { return completed(job, assembler, it) })
            submitted = submitted || attempt.submitted
            val outcome = outcomeIfOver(number, end)
            if (outcome != null) return truthful(outcome, submitted)
            number++
        }
    }

    private suspend fun outcomeIfOver(
        number: Int,
        end: AttemptEnd,
    ): Outcome? =
        when (end) {
            is AttemptEnd.Final -> end.outcome
            is AttemptEnd.Retry -> retries.mayRetry(number, end)
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
            return place
                .place(attempt)
                .flatMap { placement ->
                    val source = if (placement.attach == null) prefill.prefill(attempt, placement) else Either.Right(null)
                    source.flatMap { decode.decode(attempt, placement, it) }
                }.onRight { whole = true }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } finally {
            if (!whole) cancels.cancel(attempt)
        }
    }

    private fun completed(
        job: ModelJob,
        assembler: AnswerAssembler,
        end: AnswerEnd,
    ) = Outcome.Completed(Answer.Generated(assembler.texts, job.promptTokens, end.finishReason))

    /** Model work has no effect that must not repeat, so only a request without any token is reported as refused. */
    private fun timedOut(assembler: AnswerAssembler): Outcome {
        if (assembler.position == 0) return Outcome.Failed(FailureReason.DEADLINE, "no token before the deadline")
        return Outcome.Failed(FailureReason.DEADLINE, "${assembler.position} tokens before the deadline")
    }
}
