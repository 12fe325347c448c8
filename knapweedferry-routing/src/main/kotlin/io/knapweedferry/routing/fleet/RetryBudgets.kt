package io.knapweedferry.routing.fleet

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.retry.RetryBudget

/** Retry budget of each service. The fleet-wide budget is divided among the entries; these are the shares of this entry. */
internal class RetryBudgets(
    private val percent: Int,
    private val burst: Int,
) {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    fun of(service: ServiceName): RetryBudget = budgets.getOrPut(service) { RetryBudget(percent, burst) }
}
