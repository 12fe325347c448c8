package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.knapweedferry.policy.quarantine.QuarantineReason
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.ResponseHead
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards requests that are answered with event streams: those of streaming routes, and all model requests. A resumable
 * stream that breaks off is resumed at another endpoint after the last event that was delivered completely.
 */
internal class StreamForwarder(
    private val client: EndpointClient,
    private val placements: StreamPlacements,
    private val selector: EndpointSelector,
    private val retryBudgets: RetryBudgets,
    private val protocol: UpstreamProtocol,
    private val guard: PromptGuard,
    private val settings: ForwardingSettings,
) {
    /** Forwards the request of [job]; [candidates] is evaluated for each attempt. */
    suspend fun forward(
        job: ForwardingJob,
        candidates: () -> List<RoutedEndpoint>,
    ) = Execution(job, placements.of(job, candidates)).execute()

    private inner class Execution(
        private val job: ForwardingJob,
        private val placement: StreamPlacement,
    ) {
        private val record = job.record
        private val recorder = job.recorder
        private val retryBudget = retryBudgets.of(job.service.name)
        private val relay = EventRelay(job, settings, { guard.recordAnswering(job) }, { guard.recordCompleted(job) }, ::reserveReplacement)

        /** Reservation at the engine that takes over from an attempt without progress. */
        private var replacement: Admission? = null
        private var refusal = LocalResponse.NO_ENDPOINT
        private var quarantine: QuarantineReason? = null
        private var errorResponse: BufferedResponse? = null
        private var connectFailures = 0

        suspend fun execute() {
            while (connectFailures < settings.maxConnectFailures) {
                val outcome = attempt() ?: break
                if (!shouldContinue(outcome)) return
            }
            respondWithFailure()
        }

        /** False once the caller has the final response. */
        private fun shouldContinue(outcome: Outcome): Boolean =
            when (outcome) {
                Outcome.Completed -> false
                Outcome.NotSent -> true.also { connectFailures++ }
                is Outcome.Replaced -> true.also { recorder.recordRetry(record, outcome.reason) }
                is Outcome.Retryable -> retry(outcome)
            }

        private fun retry(outcome: Outcome.Retryable): Boolean {
            refusal = outcome.refusal
            if (mayRetry(outcome)) {
                recorder.recordRetry(record, outcome.reason)
                return true
            }
            respondWithFailure()
            return false
        }

        /** Null if no engine granted a reservation in time, or if the prompt must not be sent to an engine. */
        private suspend fun attempt(): Outcome? {
            if (isQuarantined()) return null.also { replacement?.let(placement::release) }
            val admission = replacement ?: placement.admit(isResumed = job.reply.hasStarted)
            replacement = null
            if (admission == null) {
                refusal = placement.refusal
                return null
            }
            record.recordStep("admitted")
            val admittedAtMs = job.call.elapsedMs
            val outcome = prepareAndOpen(admission)?.fold({ onFailure(admission.choice.endpoint, it, runMs = 0) }, { receive(it) })
            if (outcome == Outcome.Completed) {
                placement.recordCompletedRun(admission.choice.endpoint, relay.completedRun(job.call.elapsedMs - admittedAtMs))
            }
            return outcome
        }

        /**
         * Has the prompt processed and sends the request to the engine of [admission]; null if it must not be sent any more. The
         * reservation is given back unless the request has been sent, also if the request ends meanwhile.
         */
        private suspend fun prepareAndOpen(admission: Admission): Either<AttemptFailure, Run>? {
            var isSent = false
            try {
                val endpoint = admission.choice.endpoint
                val kvSource = if (shouldPrefill && !isQuarantined()) placement.prefill(endpoint) else null
                if (isQuarantined() || isTooLateToBegin()) return null
                if (!placement.isServing(endpoint)) return AttemptFailure.NotSent("the endpoint has left or begun to drain").left()
                val terms =
                    job.terms(endpoint).copy(kvSource = kvSource, reservation = admission.reservation, lastEventId = relay.lastEventId)
                val opened = client.open(record, admission.choice, terms, placement.runOptions(endpoint, kvSource != null))
                isSent = opened.isRight()
                return opened.map { Run(it, terms) }
            } finally {
                if (!isSent) placement.discard(admission)
            }
        }

        /** Asked after each wait for the same reason as at the arrival of the request: this process may be stopping by now. */
        private fun isTooLateToBegin(): Boolean {
            if (job.reply.hasStarted || !placement.outlastsProcess) return false
            refusal = placement.refusal
            return true
        }

        /** Asked again after each wait, because engines may have crashed meanwhile. */
        private fun isQuarantined(): Boolean {
            quarantine = guard.findQuarantine(job)
            return quarantine != null
        }

        /**
         * Reserves another engine for a run without progress. The present attempt goes on until there is one, because it may be
         * slow but sound.
         */
        private suspend fun reserveReplacement(): Boolean {
            if (!canFailOver()) return false
            val admission = placement.admitReplacement(settings.replacementWaitMs) ?: return false
            if (!retryBudget.tryRetry()) {
                placement.release(admission)
                return false
            }
            replacement = admission
            return true
        }

        private val shouldPrefill get() = relay.lastEventId == null && record.sentCount == 0

        private suspend fun receive(run: Run): Outcome =
            try {
                run.attempt.use { receive(it, run.terms) }
            } finally {
                placement.onRunEnded(run.attempt.endpoint)
            }

        private suspend fun receive(
            attempt: Attempt,
            terms: AttemptTerms,
        ): Outcome {
            val head = awaitHead(attempt) ?: return Outcome.Replaced("no_answer_in_time")
            head.onRight { guard.recordAlive(job, attempt.endpoint, attempt.elapsedMs) }
            return head.fold({ onFailure(attempt.endpoint, it, attempt.elapsedMs) }, { onResponse(attempt, terms, it) })
        }

        private fun onFailure(
            engine: RoutedEndpoint,
            failure: AttemptFailure,
            runMs: Long,
        ): Outcome {
            if (failure !is AttemptFailure.NoResponse) return Outcome.NotSent
            if (failure.isDisconnect) guard.recordBroken(job, engine, 0, runMs)
            return Outcome.Retryable("answer_lost", LocalResponse.ANSWER_LOST)
        }

        /** Null once another engine has taken over. */
        private suspend fun awaitHead(attempt: Attempt): Either<AttemptFailure, ResponseHead>? {
            while (true) {
                val timeoutMs = (job.route.targetLatencyMs * settings.responseTimeoutFactor).toLong().coerceAtLeast(MIN_RESPONSE_TIMEOUT_MS)
                withTimeoutOrNull(timeoutMs) { attempt.head() }?.let { return it }
                if (reserveReplacement()) return null
            }
        }

        private suspend fun onResponse(
            attempt: Attempt,
            terms: AttemptTerms,
            head: ResponseHead,
        ): Outcome {
            if (protocol.provesNotRun(head.status, head.headers)) {
                record.recordNotRun()
                if (terms.reservation != null) recordRunRefused(attempt.endpoint, terms)
                return Outcome.Retryable("not_run", LocalResponse.ENDPOINTS_FULL)
            }
            if (SignatureCheck.isMissing(
                    protocol,
                    head.status,
                    head.headers,
                )
            ) {
                return Outcome.Retryable("unsigned", LocalResponse.ANSWER_LOST)
            }
            if (head.status != STATUS_OK) return onErrorResponse(attempt, head)
            if (!job.reply.hasStarted) job.reply.begin(head.status, protocol.callerHeaders(head.headers))
            return relay(attempt)
        }

        /** With a remote KV cache the engine may have refused because the cache was gone at its source, so the cause is not certain. */
        private fun recordRunRefused(
            engine: RoutedEndpoint,
            terms: AttemptTerms,
        ) {
            recorder.recordRunRefused(record, engine, terms)
            selector.tracker(engine.id).recordRunRefused(isCertain = terms.kvSource == null)
        }

        /** Handles a response that is not a stream, usually an error of the engine. */
        private suspend fun onErrorResponse(
            attempt: Attempt,
            head: ResponseHead,
        ): Outcome {
            val body =
                BodyReader.read(BodyReader.MAX_SHORT_BODY_BYTES, attempt::next).getOrElse {
                    return Outcome.Retryable("answer_lost", LocalResponse.ANSWER_LOST)
                }
            if (job.reply.hasStarted) return Outcome.Retryable("endpoint_error", LocalResponse.ANSWER_LOST)
            errorResponse = BufferedResponse(head.status, head.headers, body)
            return Outcome.Retryable("endpoint_error", LocalResponse.ANSWER_LOST)
        }

        private suspend fun relay(attempt: Attempt): Outcome =
            when (relay.relay(attempt)) {
                EventRelay.End.COMPLETE -> Outcome.Completed.also { recorder.recordDelivered(record, STATUS_OK) }
                EventRelay.End.BROKEN -> {
                    guard.recordBroken(job, attempt.endpoint, relay.attemptEvents, attempt.elapsedMs)
                    Outcome.Retryable("stream_broken", LocalResponse.ANSWER_LOST)
                }
                EventRelay.End.MALFORMED -> Outcome.Retryable("stream_broken", LocalResponse.ANSWER_LOST)
                EventRelay.End.TOO_LONG -> Outcome.Retryable("stream_too_long", LocalResponse.ANSWER_LOST)
                EventRelay.End.PAUSED -> Outcome.Replaced("pause_too_long")
            }

        private val isResumable get() = job.route.isResumable && relay.isResumable

        /** True if another engine can take over the run. */
        private fun canFailOver(): Boolean =
            isResumable &&
                record.sentCount < job.route.maxAttempts &&
                retryBudget.available() > 0 &&
                placement.hasAlternative()

        private fun mayRetry(outcome: Outcome.Retryable): Boolean {
            val attemptMayHaveRun = outcome.refusal != LocalResponse.ENDPOINTS_FULL
            if (attemptMayHaveRun && !isResumable) return false
            return record.sentCount < job.route.maxAttempts && retryBudget.tryRetry()
        }

        private fun respondWithFailure() {
            if (job.reply.hasStarted) {
                job.reply.abort()
                return recorder.recordAborted(record, "stream_broken")
            }
            val response = errorResponse
            if (response != null) return job.deliver(response)
            val reason = quarantine
            when {
                record.mayHaveRun -> job.refuse(LocalResponse.ANSWER_LOST)
                reason != null -> job.refuse(LocalResponse.PROMPT_QUARANTINED, reason.remainingMs)
                refusal == LocalResponse.ENTRY_STOPPING -> job.refuse(refusal)
                else -> placements.outage(job)?.let { job.refuse(it) } ?: job.refuse(refusal)
            }
        }
    }

    /** A request that was sent to an engine. */
    private class Run(
        val attempt: Attempt,
        val terms: AttemptTerms,
    )

    private sealed interface Outcome {
        data object Completed : Outcome

        data object NotSent : Outcome

        /** Another engine has been reserved to take over, and the retry has been charged to the budget. */
        class Replaced(
            val reason: String,
        ) : Outcome

        class Retryable(
            val reason: String,
            val refusal: LocalResponse,
        ) : Outcome
    }

    private companion object {
        const val STATUS_OK = 200

        /** Limits how often another engine is asked to take over, whatever the route says. */
        const val MIN_RESPONSE_TIMEOUT_MS = 100L
    }
}
