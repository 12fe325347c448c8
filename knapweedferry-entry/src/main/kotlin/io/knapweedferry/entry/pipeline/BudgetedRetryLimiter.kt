package io.knapweedferry.entry.pipeline

import io.knapweedferry.policy.retry.RetryBudget

/** Limits retries to a percentage of the entry's recent requests. */
internal class BudgetedRetryLimiter(
    budgetPercent: Int,
) : RetryLimiter {
    private val budget = RetryBudget(percent = budgetPercent)

    override fun requestStarted() {
        budget.recordRequest()
    }

    override fun tryRetry(): Boolean = budget.tryRetry()
}
