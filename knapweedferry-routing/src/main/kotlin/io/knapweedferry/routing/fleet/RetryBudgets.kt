package io.knapweedferry.routing.fleet

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.retry.RetryBudget

/** One retry budget per service. The fleet's budget is shared by all entries, so each takes its part. */
internal class RetryBudgets(
    private val percent: Int,
    private val burst: Int,
) {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    fun of(service: ServiceName): RetryBudget = budgets.getOrPut(service) { RetryBudget(percent, burst) }
}
