package io.knapweedferry.policy.retry

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against exceeding the retry budget, also when threads compete for the last retry. */
internal class RetryBudgetSpec {
    private val budget = RetryBudget(percent = 50, burst = 2)

    @Operation
    fun recordRequest() = budget.recordRequest()

    @Operation
    fun tryRetry() = budget.tryRetry()

    @Operation
    fun available() = budget.available()

    @Test
    fun `concurrent use is linearizable`() {
        StressOptions().iterations(5).invocationsPerIteration(300).check(this::class)
        ModelCheckingOptions().iterations(5).invocationsPerIteration(300).check(this::class)
    }

    @Test
    fun `retries stay within their percentage of requests and accumulated retries are bounded`() {
        val fresh = RetryBudget(percent = 20, burst = 3)
        assertEquals(3, (1..10).count { fresh.tryRetry() })
        assertEquals(20, (1..100).count { fresh.recordRequest().let { fresh.tryRetry() } })
        repeat(1_000) { fresh.recordRequest() }
        assertEquals(3, (1..10).count { fresh.tryRetry() })
    }
}
