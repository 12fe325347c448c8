package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.getOrElse
import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.call.KvSourceRef
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.fleet.RetryAllowances
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AnswerHead
import io.knapweedferry.routing.upstream.AttemptFailure
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards model requests, whose answers are streams of events. A prompt is read by an engine of the prefill stage where
 * one is available, and the run goes on at an engine of the decode stage. A resumable stream that breaks off goes on at
 * another engine after the last event that was delivered whole.
 */
internal class StreamForwarder(
    private val attempts: Attempts,
    private val gate: EngineGate,
    private val chooser: EndpointChooser,
    private val allowances: RetryAllowances,
    private val dialect: CallDialect,
    private val recorder: CallRecorder,
    private val settings: ForwardingSettings,
) {
    suspend fun forward(
        job: ForwardingJob,
        engine: EngineProfile,
        candidates: () -> List<RoutedEndpoint>,
    ) = Run(job, engine, candidates).go()

    private inner class Run(
        private val job: ForwardingJob,
        private val engine: EngineProfile,
        private val candidates: () -> List<RoutedEndpoint>,
    ) {
        private val record = job.record
        private val times = RunTimes(job)
        private val budget = allowances.of(job.service.name)
        private val tried = HashSet<EndpointId>()
        private val relay = EventRelay(job, settings, ::canGoElsewhere)
        private var refusal = LocalAnswer.NO_ENDPOINT
        private var fallback: WholeAnswer? = null
        private var unreachable = 0

        suspend fun go() {
            while (unreachable < settings.maxUnreachable) {
                val step = attemptOnce() ?: break
                if (!goesOn(step)) return
            }
            giveUp()
        }

        /** False once the request has its final answer. */
        private fun goesOn(step: Step): Boolean =
            when (step) {
                Step.Done -> false
                Step.NotSent -> true.also { unreachable++ }
                is Step.Again -> retry(step)
            }

        private fun retry(step: Step.Again): Boolean {
            refusal = step.refusal
            if (mayRetry(step)) {
                recorder.retried(record, step.reason)
                return true
            }
            giveUp()
            return false
        }

        /** Null if no engine had room in time. */
        private suspend fun attemptOnce(): Step? {
            val ticket = GateTicket(job, job.reply.hasBegun, times.firstEventMs, candidates, tried)
            val admission = gate.admit(ticket, engine, times.usefulWaitMs)
            if (admission == null) {
                record.note("no_room:${gate.waiting(job.service.name)}")
                refusal = LocalAnswer.ENDPOINTS_FULL
                return null
            }
            record.note("admitted")
            val choice = admission.choice
            tried += choice.endpoint.id
            val source = if (wantsPrefill()) readPrompt() else null
            val terms =
                job
                    .terms(
                        choice.endpoint,
                    ).copy(kvSource = source, reservation = admission.reservation, lastEventId = relay.lastEventId)
            val opened = attempts.open(record, choice, terms, plan(choice, source != null))
            return opened.fold({ notOpened(it) }, { attempt -> follow(choice, attempt, terms) })
        }

        private fun wantsPrefill() = relay.lastEventId == null && record.sentCount == 0

        private suspend fun follow(
            choice: Choice,
            attempt: Attempt,
            terms: AttemptTerms,
        ): Step =
            try {
                attempt.use { follow(it, terms) }
            } finally {
                gate.noteRoom(job.service.name, choice.endpoint.id)
            }

        private fun notOpened(failure: AttemptFailure): Step =
            if (failure is AttemptFailure.NotSent) Step.NotSent else Step.Again("answer_lost", LocalAnswer.ANSWER_LOST)

        /** Has the prompt read by a prefill engine; without a result the decode engine reads it itself. */
        private suspend fun readPrompt(): KvSourceRef? {
            // The fleet's budget counts every prefill that brings no result.
            if (budget.available() == 0) return null
            val prefill = chooser.chooseEngine(candidates(), EndpointStage.PREFILL, job.call.traits, engine, null) ?: return null
            val terms = job.terms(prefill.endpoint).copy(isPrefill = true)
            val patienceMs =
                minOf(
                    job.remainingMs,
                    ((times.readMs(EndpointStage.PREFILL) + RunTimes.FIRST_TOKEN_BASE_MS) * PREFILL_PATIENCE_FACTOR).toLong(),
                )
            val answer = withTimeoutOrNull(patienceMs) { attempts.whole(record, prefill, terms, plan(prefill, false)) }
            val handle = answer?.getOrNull()?.takeIf { it.status == STATUS_OK }?.let { dialect.readKvHandle(it.body) }
            if (handle == null) {
                budget.tryRetry()
                recorder.retried(record, "prefill_failed")
            }
            return handle?.let { KvSourceRef(prefill.endpoint.address, it) }
        }

        private suspend fun follow(
            attempt: Attempt,
            terms: AttemptTerms,
        ): Step {
            val head = firstAnswer(attempt) ?: return Step.Again("no_answer_in_time", LocalAnswer.ANSWER_LOST)
            return head.fold({ Step.Again("answer_lost", LocalAnswer.ANSWER_LOST) }, { answered(attempt, terms, it) })
        }

        private suspend fun firstAnswer(attempt: Attempt): Either<AttemptFailure, AnswerHead>? {
            if (!canGoElsewhere()) return attempt.head()
            return withTimeoutOrNull((job.route.targetLatencyMs * settings.patienceFactor).toLong()) { attempt.head() }
        }

        private suspend fun answered(
            attempt: Attempt,
            terms: AttemptTerms,
            head: AnswerHead,
        ): Step {
            if (dialect.isNotRun(head.status, head.headers)) {
                record.noteNotRun()
                if (terms.reservation != null) noteRunRefused(attempt.endpoint, terms)
                return Step.Again("not_run", LocalAnswer.ENDPOINTS_FULL)
            }
            if (SignedSuccess.isMissing(dialect, head.status, head.headers)) return Step.Again("unsigned", LocalAnswer.ANSWER_LOST)
            if (head.status != STATUS_OK) return failed(attempt, head)
            if (!job.reply.hasBegun) job.reply.begin(head.status, dialect.callerHeaders(head.headers))
            return relay(attempt)
        }

        /** The reason may also be a KV cache that was gone at its source. */
        private fun noteRunRefused(
            engine: RoutedEndpoint,
            terms: AttemptTerms,
        ) {
            recorder.runRefused(record, engine, terms)
            chooser.ledger(engine.id).noteRunRefused(isCertain = terms.kvSource == null)
        }

        /** A whole answer that is no stream, usually an error of the engine. */
        private suspend fun failed(
            attempt: Attempt,
            head: AnswerHead,
        ): Step {
            val body =
                WholeBody.read(WholeBody.MAX_SHORT_BYTES, attempt::next).getOrElse {
                    return Step.Again("answer_lost", LocalAnswer.ANSWER_LOST)
                }
            if (job.reply.hasBegun) return Step.Again("endpoint_error", LocalAnswer.ANSWER_LOST)
            fallback = WholeAnswer(head.status, head.headers, body)
            return Step.Again("endpoint_error", LocalAnswer.ANSWER_LOST)
        }

        private suspend fun relay(attempt: Attempt): Step =
            when (relay.relay(attempt)) {
                EventRelay.End.COMPLETE -> Step.Done.also { recorder.delivered(record, STATUS_OK) }
                EventRelay.End.BROKEN -> Step.Again("stream_broken", LocalAnswer.ANSWER_LOST)
                EventRelay.End.TOO_LONG -> Step.Again("stream_too_long", LocalAnswer.ANSWER_LOST)
                EventRelay.End.PAUSED -> Step.Again("pause_too_long", LocalAnswer.ANSWER_LOST)
            }

        /** True if another engine may take over a run that does not go on. */
        private fun canGoElsewhere(): Boolean =
            job.route.isResumable &&
                record.sentCount < job.route.maxAttempts &&
                budget.available() > 0 &&
                candidates().any { it.stage == EndpointStage.DECODE && it.id !in tried }

        private fun mayRetry(step: Step.Again): Boolean {
            val ran = step.refusal != LocalAnswer.ENDPOINTS_FULL
            if (ran && !job.route.isResumable) return false
            return record.sentCount < job.route.maxAttempts && budget.tryRetry()
        }

        private fun giveUp() {
            if (job.reply.hasBegun) {
                job.reply.abort()
                return recorder.cut(record, "stream_broken")
            }
            val kept = fallback
            if (kept != null) return job.deliver(kept)
            job.refuse(if (record.mayHaveRun) LocalAnswer.ANSWER_LOST else refusal)
        }

        private fun plan(
            choice: Choice,
            isPromptRead: Boolean,
        ): AttemptPlan {
            val unread = if (isPromptRead) 0 else job.call.traits.promptTokens
            val stage = choice.endpoint.stage ?: EndpointStage.DECODE
            return AttemptPlan(
                kvTokens = job.call.traits.kvTokens,
                unreadTokens = unread,
                usualMs = RunTimes.FIRST_TOKEN_BASE_MS + (if (isPromptRead) 0.0 else times.readMs(stage)),
                maxIdleMs = if (job.route.isResumable) Long.MAX_VALUE else settings.unrepeatableMaxIdleMs,
            )
        }
    }

    private sealed interface Step {
        data object Done : Step

        data object NotSent : Step

        class Again(
            val reason: String,
            val refusal: LocalAnswer,
        ) : Step
    }

    private companion object {
        const val STATUS_OK = 200

        /** A prefill that takes this many times longer than alone is queued behind others; the decode engine then reads the prompt. */
        const val PREFILL_PATIENCE_FACTOR = 8.0
    }
}
