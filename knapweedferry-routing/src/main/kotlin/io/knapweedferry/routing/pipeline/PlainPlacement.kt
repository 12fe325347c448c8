package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.KvSourceRef
import io.knapweedferry.routing.fleet.CompletedRun
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.RoutedEndpoint

/** Places requests of streaming routes at plain services, which need no reservation. */
internal class PlainPlacement(
    private val job: ForwardingJob,
    private val candidates: () -> List<RoutedEndpoint>,
    private val selector: EndpointSelector,
    private val settings: ForwardingSettings,
) : StreamPlacement {
    private val tried = HashSet<EndpointId>()

    override val refusal = LocalResponse.NO_ENDPOINT

    /** Requests that might outlast this process are refused when they arrive. */
    override val outlastsProcess = false

    override suspend fun admit(isResumed: Boolean): Admission? = select()

    override suspend fun admitReplacement(waitMs: Long): Admission? = select()

    private fun select(): Admission? =
        selector.selectPlain(untried())?.let {
            tried += it.endpoint.id
            Admission(it, null)
        }

    private fun untried() = candidates().filterNot { it.id in tried }

    override fun isServing(endpoint: RoutedEndpoint) = candidates().any { it.id == endpoint.id }

    override fun hasAlternative() = untried().isNotEmpty()

    override fun release(admission: Admission) {
        tried -= admission.choice.endpoint.id
    }

    override fun discard(admission: Admission) = Unit

    override suspend fun prefill(runEndpoint: RoutedEndpoint): KvSourceRef? = null

    override fun runOptions(
        endpoint: RoutedEndpoint,
        isPrefilled: Boolean,
    ) = AttemptOptions.plain(job.route, settings)

    override fun onRunEnded(endpoint: RoutedEndpoint) = Unit

    override fun recordCompletedRun(
        endpoint: RoutedEndpoint,
        run: CompletedRun,
    ) = Unit
}
