package io.knapweedferry.testing.load

/**
 * Upper bound on the number of requests that any router could answer within target, from the arrivals and the stated
 * capacity. Unused capacity is lost, so the requests of a window can only use the capacity from the first arrival in the
 * window until the last deadline. Each resource is considered separately and the cheapest requests are counted first; both
 * simplifications can only raise the bound.
 */
public class GoodputBound(
    private val scenario: LoadScenario,
    private val windowMs: Long = DEFAULT_WINDOW_MS,
) {
    private class Resource(
        val capacityPerSecond: Double,
        val cost: (PlannedRequest) -> Double,
    )

    /** Returns the bound on the number of answers within target for the [requests] of one run. */
    public fun of(requests: List<PlannedRequest>): Double {
        val (chats, calls) = requests.partition { it.work.isChat }
        return bound(chats, chatResources()) + bound(calls, callResources())
    }

    private fun chatResources() =
        listOfNotNull(
            // A shared prefix may be cached, so only the remaining tokens are certain to be computed.
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
        val all = resources.minOfOrNull { countFitting(requests, it) } ?: return requests.size.toDouble()
        val byWindow = requests.groupBy { it.atMs / windowMs }.values
        return minOf(all, byWindow.sumOf { window -> resources.minOf { countFitting(window, it) } })
    }

    private fun countFitting(
        requests: List<PlannedRequest>,
        resource: Resource,
    ): Double {
        if (requests.isEmpty()) return 0.0
        val availableMs = requests.maxOf { dueMs(it) } - requests.minOf { it.atMs }
        var remaining = availableMs * resource.capacityPerSecond / MS_PER_SECOND
        var count = 0.0
        for (cost in requests.map(resource.cost).sorted()) {
            val fraction = if (cost <= remaining) 1.0 else remaining / cost
            count += fraction
            remaining = (remaining - cost).coerceAtLeast(0.0)
        }
        return count
    }

    /** Time by which the last token must arrive for the answer to be within target. */
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
