package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.KvSourceRef
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import kotlinx.coroutines.withTimeoutOrNull

/** Has prompts processed by prefill engines, which keep the KV cache for the decode engines that run the requests. */
internal class PrefillRunner(
    private val client: EndpointClient,
    private val selector: EndpointSelector,
    private val retryBudgets: RetryBudgets,
    private val protocol: UpstreamProtocol,
    private val settings: ForwardingSettings,
) {
    /** Sends the prompt to a prefill engine; if this returns null, [decodeEngine] processes the prompt itself. */
    suspend fun run(
        job: ForwardingJob,
        engine: EngineProfile,
        candidates: List<RoutedEndpoint>,
        decodeEngine: RoutedEndpoint,
    ): KvSourceRef? {
        // A failed prefill counts against the fleet-wide retry budget.
        val retryBudget = retryBudgets.of(job.service.name)
        if (retryBudget.available() == 0) return null
        val prefill = selector.selectPrefill(candidates, job.call.traits, engine, decodeEngine) ?: return null
        val terms = job.terms(prefill.endpoint).copy(isPrefill = true)
        val expectedMs = RunTimeEstimate(job).prefillMs(EndpointStage.PREFILL) + RunTimeEstimate.FIRST_TOKEN_OVERHEAD_MS
        val timeoutMs = minOf(job.remainingMs, (expectedMs * TIMEOUT_FACTOR).toLong())
        val isAlone = selector.tracker(prefill.endpoint.id).isIdle
        val beganMs = job.call.elapsedMs
        val response = withTimeoutOrNull(timeoutMs) { client.fetch(job.record, prefill, terms, options(job, expectedMs)) }
        val handle = response?.getOrNull()?.takeIf { it.status == STATUS_OK }?.let { protocol.readKvHandle(it.body) }
        if (handle == null) {
            retryBudget.tryRetry()
            job.recorder.recordRetry(job.record, "prefill_failed")
        }
        if (handle != null && isAlone) {
            selector.speeds?.recordPrefill(prefill.endpoint, job.call.traits.promptTokens, job.call.elapsedMs - beganMs)
        }
        return handle?.let { KvSourceRef(prefill.endpoint.address, it) }
    }

    private fun options(
        job: ForwardingJob,
        expectedMs: Double,
    ) = AttemptOptions(
        kvTokens = job.call.traits.kvTokens,
        pendingPrefillTokens = job.call.traits.promptTokens,
        expectedFirstByteMs = expectedMs,
        maxIdleMs = if (job.route.isResumable) Long.MAX_VALUE else settings.nonRepeatableMaxIdleMs,
    )

    private companion object {
        const val STATUS_OK = 200

        /** A prefill that takes this many times longer than on an idle engine is queued behind others; the decode engine takes over. */
        const val TIMEOUT_FACTOR = 8.0
    }
}
