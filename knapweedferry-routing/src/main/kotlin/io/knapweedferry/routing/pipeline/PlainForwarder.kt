package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.fleet.RetryAllowances
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards requests that are answered as a whole. An answer is delivered once it is complete, so that an attempt that
 * breaks off can be repeated where the route allows it.
 */
internal class PlainForwarder(
    private val attempts: Attempts,
    private val chooser: EndpointChooser,
    private val allowances: RetryAllowances,
    private val dialect: CallDialect,
    private val recorder: CallRecorder,
    private val settings: ForwardingSettings,
) {
    suspend fun forward(
        job: ForwardingJob,
        candidates: () -> List<RoutedEndpoint>,
    ) = Run(job, candidates).go()

    private inner class Run(
        private val job: ForwardingJob,
        private val candidates: () -> List<RoutedEndpoint>,
    ) {
        private val record = job.record
        private val tried = HashSet<EndpointId>()
        private var fallback: WholeAnswer? = null
        private var refusal = LocalAnswer.NO_ENDPOINT
        private var unreachable = 0

        suspend fun go() {
            while (unreachable < settings.maxUnreachable) {
                val untried = candidates().filterNot { it.id in tried }
                val choice = chooser.choosePlain(untried) ?: break
                tried += choice.endpoint.id
                if (!goesOn(attempt(choice, untried.size > 1))) return
            }
            giveUp()
        }

        /** False once the request has its final answer. */
        private fun goesOn(result: PlainResult): Boolean =
            when (result) {
                is PlainResult.Answered -> retryFailure(result.answer)
                is PlainResult.Lost -> retry(result.reason, LocalAnswer.ANSWER_LOST, job.route.isRepeatable)
                PlainResult.NotRun -> retry("not_run", LocalAnswer.ENDPOINTS_FULL, isSafe = true)
                PlainResult.NotSent -> true.also { unreachable++ }
            }

        private fun retryFailure(answer: WholeAnswer): Boolean {
            if (answer.status >= STATUS_SERVER_ERROR && job.route.isRepeatable && mayRetry()) {
                fallback = answer
                recorder.retried(record, "endpoint_error")
                return true
            }
            job.deliver(answer)
            return false
        }

        private fun retry(
            reason: String,
            answer: LocalAnswer,
            isSafe: Boolean,
        ): Boolean {
            refusal = answer
            if (isSafe && mayRetry()) {
                recorder.retried(record, reason)
                return true
            }
            giveUp()
            return false
        }

        private fun giveUp() {
            val kept = fallback
            if (kept != null) return job.deliver(kept)
            job.refuse(if (record.mayHaveRun) LocalAnswer.ANSWER_LOST else refusal)
        }

        private suspend fun attempt(
            choice: Choice,
            hasAlternative: Boolean,
        ): PlainResult {
            val patienceMs = if (hasAlternative) patienceMs() else null
            val result = if (patienceMs == null) whole(choice) else withTimeoutOrNull(patienceMs) { whole(choice) }
            result ?: return PlainResult.Lost("no_answer_in_time")
            return result.fold(
                { if (it is AttemptFailure.NotSent) PlainResult.NotSent else PlainResult.Lost("answer_lost") },
                ::classify,
            )
        }

        private fun classify(answer: WholeAnswer): PlainResult {
            if (SignedSuccess.isMissing(dialect, answer.status, answer.headers)) return PlainResult.Lost("unsigned")
            if (!dialect.isNotRun(answer.status, answer.headers)) return PlainResult.Answered(answer)
            record.noteNotRun()
            return PlainResult.NotRun
        }

        private suspend fun whole(choice: Choice) = attempts.whole(record, choice, job.terms(choice.endpoint), plan())

        /** Null for an attempt that cannot be repeated, which is waited for as long as the caller waits. */
        private fun patienceMs(): Long? {
            if (!job.route.isRepeatable || record.sentCount + 1 >= job.route.maxAttempts) return null
            if (allowances.of(job.service.name).available() == 0) return null
            return (job.route.targetLatencyMs * settings.patienceFactor).toLong()
        }

        private fun mayRetry(): Boolean = record.sentCount < job.route.maxAttempts && allowances.of(job.service.name).tryRetry()

        private fun plan() =
            AttemptPlan(
                kvTokens = 0,
                unreadTokens = 0,
                usualMs = EndpointChooser.PLAIN_USUAL_MS,
                maxIdleMs = if (job.route.isRepeatable) Long.MAX_VALUE else settings.unrepeatableMaxIdleMs,
            )
    }

    private sealed interface PlainResult {
        class Answered(
            val answer: WholeAnswer,
        ) : PlainResult

        class Lost(
            val reason: String,
        ) : PlainResult

        data object NotRun : PlainResult

        data object NotSent : PlainResult
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
    }
}
