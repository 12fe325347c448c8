package io.knapweedferry.entry.pipeline

import io.knapweedferry.policy.retry.RetryBudget

/** Retries within the budget of the entry. */
internal class RetryShare(
    budgetPercent: Int,
) : RetryAllowance {
    private val budget = RetryBudget(percent = budgetPercent)

    override fun requestStarted() {
        budget.recordRequest()
    }

    override fun tryRetry(): Boolean = budget.tryRetry()
}
