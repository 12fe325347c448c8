package io.knapweedferry.testing.load

/**
 * Upper bound on the number of requests that any router could answer in time, from the arrivals and the stated capacity.
 * Capacity cannot be saved up, so the requests of each window can only use what the fleet does from the start of the window
 * until the last of them is due. Each resource is looked at alone and cheap requests are taken first; every step only makes
 * the bound higher than what is possible.
 */
public class GoodputBound(
    private val scenario: LoadScenario,
    private val windowMs: Long = DEFAULT_WINDOW_MS,
) {
    private class Resource(
        val perSecond: Double,
        val cost: (PlannedRequest) -> Double,
    )

    /** Returns the bound for [requests] of one run. */
    public fun of(requests: List<PlannedRequest>): Double {
        val (chats, calls) = requests.partition { it.work.isChat }
        return bound(chats, chatResources()) + bound(calls, callResources())
    }

    private fun chatResources() =
        listOfNotNull(
            // A shared prefix may be cached, so only the rest is certain to cost prefill.
            scenario.capacity.prefillTokensPerSecond?.let { rate ->
                Resource(rate) { (it.promptTokens - it.work.sharedPrefixTokens).coerceAtLeast(0).toDouble() }
            },
            scenario.capacity.decodeTokensPerSecond?.let { rate -> Resource(rate) { it.answerTokens.toDouble() } },
        )

    private fun callResources() = listOfNotNull(scenario.capacity.serviceCallsPerSecond?.let { rate -> Resource(rate) { 1.0 } })

    private fun bound(
        requests: List<PlannedRequest>,
        resources: List<Resource>,
    ): Double {
        val all = resources.minOfOrNull { fitting(requests, it) } ?: return requests.size.toDouble()
        val byWindow = requests.groupBy { it.atMs / windowMs }.values
        return minOf(all, byWindow.sumOf { window -> resources.minOf { fitting(window, it) } })
    }

    private fun fitting(
        requests: List<PlannedRequest>,
        resource: Resource,
    ): Double {
        if (requests.isEmpty()) return 0.0
        val availableMs = requests.maxOf { dueMs(it) } - requests.minOf { it.atMs }
        var left = availableMs * resource.perSecond / MS_PER_SECOND
        var count = 0.0
        for (cost in requests.map(resource.cost).sorted()) {
            val part = if (cost <= left) 1.0 else left / cost
            count += part
            left = (left - cost).coerceAtLeast(0.0)
        }
        return count
    }

    /** Time by which the last token must be there for the answer to count. */
    private fun dueMs(request: PlannedRequest): Double {
        val target = scenario.target(request.work.rank)
        val decodeMs = if (request.work.isChat) request.answerTokens * target.interTokenMs else 0.0
        return request.atMs + target.firstTokenMs + decodeMs
    }

    private companion object {
        const val DEFAULT_WINDOW_MS = 5_000L
        const val MS_PER_SECOND = 1_000.0
    }
}
