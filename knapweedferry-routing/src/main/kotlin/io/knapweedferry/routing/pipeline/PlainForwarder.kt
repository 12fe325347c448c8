package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards requests other than streams to plain services. A response is buffered and delivered once it is complete, so that an attempt that
 * fails midway can be retried where the route allows it.
 */
internal class PlainForwarder(
    private val client: EndpointClient,
    private val selector: EndpointSelector,
    private val retryBudgets: RetryBudgets,
    private val services: ServiceAvailability,
    private val protocol: UpstreamProtocol,
    private val recorder: CallRecorder,
    private val settings: ForwardingSettings,
) {
    suspend fun forward(
        job: ForwardingJob,
        candidates: () -> List<RoutedEndpoint>,
    ) = Execution(job, candidates).execute()

    private inner class Execution(
        private val job: ForwardingJob,
        private val candidates: () -> List<RoutedEndpoint>,
    ) {
        private val record = job.record
        private val tried = HashSet<EndpointId>()
        private var errorResponse: BufferedResponse? = null
        private var refusal = LocalResponse.NO_ENDPOINT
        private var connectFailures = 0

        suspend fun execute() {
            while (connectFailures < settings.maxConnectFailures) {
                val untried = candidates().filterNot { it.id in tried }
                val choice = selector.selectPlain(untried) ?: break
                tried += choice.endpoint.id
                if (!shouldContinue(attempt(choice, untried.size > 1))) return
            }
            respondWithFailure()
        }

        /** False once the caller has the final response. */
        private fun shouldContinue(result: Outcome): Boolean =
            when (result) {
                is Outcome.Responded -> onResponse(result.response)
                is Outcome.Lost -> retry(result.reason, LocalResponse.ANSWER_LOST, job.route.isRepeatable)
                Outcome.NotRun -> retry("not_run", LocalResponse.ENDPOINTS_FULL, isSafeToRetry = true)
                Outcome.NotSent -> true.also { connectFailures++ }
            }

        private fun onResponse(response: BufferedResponse): Boolean {
            if (response.status >= STATUS_SERVER_ERROR && job.route.isRepeatable && mayRetry()) {
                errorResponse = response
                recorder.recordRetry(record, "endpoint_error")
                return true
            }
            job.deliver(response)
            return false
        }

        private fun retry(
            reason: String,
            localResponse: LocalResponse,
            isSafeToRetry: Boolean,
        ): Boolean {
            refusal = localResponse
            if (isSafeToRetry && mayRetry()) {
                recorder.recordRetry(record, reason)
                return true
            }
            respondWithFailure()
            return false
        }

        private fun respondWithFailure() {
            val response = errorResponse
            if (response != null) return job.deliver(response)
            if (record.mayHaveRun) return job.refuse(LocalResponse.ANSWER_LOST)
            val outage = services.outage(job.service.name)
            if (outage == null) job.refuse(refusal) else job.refuse(outage)
        }

        private suspend fun attempt(
            choice: EndpointChoice,
            hasAlternative: Boolean,
        ): Outcome {
            val timeoutMs = if (hasAlternative) timeoutMs() else null
            val result = if (timeoutMs == null) fetch(choice) else withTimeoutOrNull(timeoutMs) { fetch(choice) }
            result ?: return Outcome.Lost("no_answer_in_time")
            return result.fold(
                { if (it is AttemptFailure.NotSent) Outcome.NotSent else Outcome.Lost("answer_lost") },
                ::classify,
            )
        }

        private fun classify(response: BufferedResponse): Outcome {
            if (SignatureCheck.isMissing(protocol, response.status, response.headers)) return Outcome.Lost("unsigned")
            if (!protocol.provesNotRun(response.status, response.headers)) return Outcome.Responded(response)
            record.recordNotRun()
            return Outcome.NotRun
        }

        private suspend fun fetch(choice: EndpointChoice) =
            client.fetch(record, choice, job.terms(choice.endpoint), AttemptOptions.plain(job.route, settings))

        /** Null for an attempt that cannot be retried: it may take until the caller's deadline. */
        private fun timeoutMs(): Long? {
            if (!job.route.isRepeatable || record.sentCount + 1 >= job.route.maxAttempts) return null
            if (retryBudgets.of(job.service.name).available() == 0) return null
            return (job.route.targetLatencyMs * settings.responseTimeoutFactor).toLong()
        }

        private fun mayRetry(): Boolean = record.sentCount < job.route.maxAttempts && retryBudgets.of(job.service.name).tryRetry()
    }

    private sealed interface Outcome {
        class Responded(
            val response: BufferedResponse,
        ) : Outcome

        class Lost(
            val reason: String,
        ) : Outcome

        data object NotRun : Outcome

        data object NotSent : Outcome
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
    }
}
