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
    ) {
        val tried = HashSet<EndpointId>()
        var fallback: WholeAnswer? = null
        var refusal = LocalAnswer.NO_ENDPOINT
        var unreachable = 0
        while (unreachable < settings.maxUnreachable) {
            val untried = candidates().filterNot { it.id in tried }
            val choice = chooser.choosePlain(untried) ?: break
            tried += choice.endpoint.id
            when (val result = attempt(job, choice, untried.size > 1)) {
                is PlainResult.Answered -> {
                    if (!shouldRetryFailure(job, result.answer)) return job.deliver(result.answer)
                    fallback = result.answer
                    recorder.retried(job.record, "endpoint_error")
                }
                is PlainResult.NotRun -> {
                    refusal = LocalAnswer.ENDPOINTS_FULL
                    if (!mayRetry(job)) break
                    recorder.retried(job.record, "not_run")
                }
                is PlainResult.Lost -> {
                    refusal = LocalAnswer.ANSWER_LOST
                    if (!job.route.isRepeatable || !mayRetry(job)) break
                    recorder.retried(job.record, result.reason)
                }
                PlainResult.NotSent -> unreachable++
            }
        }
        val kept = fallback
        if (kept != null) return job.deliver(kept)
        job.refuse(if (job.record.mayHaveRun) LocalAnswer.ANSWER_LOST else refusal)
    }

    private suspend fun attempt(
        job: ForwardingJob,
        choice: Choice,
        hasAlternative: Boolean,
    ): PlainResult {
        val patienceMs = if (hasAlternative) patienceMs(job) else null
        val result =
            if (patienceMs == null) whole(job, choice) else withTimeoutOrNull(patienceMs) { whole(job, choice) }
        result ?: return PlainResult.Lost("no_answer_in_time")
        return result.fold(
            { if (it is AttemptFailure.NotSent) PlainResult.NotSent else PlainResult.Lost("answer_lost") },
            { answer ->
                if (isUnsignedSuccess(answer)) return@fold PlainResult.Lost("unsigned")
                if (!dialect.isNotRun(answer.status, answer.headers)) return@fold PlainResult.Answered(answer)
                job.record.noteNotRun()
                PlainResult.NotRun
            },
        )
    }

    private suspend fun whole(
        job: ForwardingJob,
        choice: Choice,
    ) = attempts.whole(job.record, choice, job.terms(choice.endpoint), plan(job))

    /** Null for an attempt that cannot be repeated, which is waited for as long as the caller waits. */
    private fun patienceMs(job: ForwardingJob): Long? {
        if (!job.route.isRepeatable || job.record.sentCount + 1 >= job.route.maxAttempts) return null
        if (allowances.of(job.service.name).available() == 0) return null
        return (job.route.targetLatencyMs * settings.patienceFactor).toLong()
    }

    /** A success without proof of its origin may come from anywhere. */
    private fun isUnsignedSuccess(answer: WholeAnswer) = answer.status in SUCCESSES && !dialect.isSigned(answer.headers)

    private fun shouldRetryFailure(
        job: ForwardingJob,
        answer: WholeAnswer,
    ): Boolean = answer.status >= STATUS_SERVER_ERROR && job.route.isRepeatable && mayRetry(job)

    private fun mayRetry(job: ForwardingJob): Boolean =
        job.record.sentCount < job.route.maxAttempts && allowances.of(job.service.name).tryRetry()

    private fun plan(job: ForwardingJob) =
        AttemptPlan(
            kvTokens = 0,
            unreadTokens = 0,
            usualMs = EndpointChooser.PLAIN_USUAL_MS,
            maxIdleMs = if (job.route.isRepeatable) Long.MAX_VALUE else settings.unrepeatableMaxIdleMs,
        )

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
        val SUCCESSES = 200..299
    }
}
