package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against exceeding the limit, leaked permits, and lower ranks that use up the whole limit. */
internal class InFlightLimiterSpec {
    private val limiter = InFlightLimiter(3, mapOf(Rank.BACKGROUND to 70))
    private val permit = limiter.tryAcquire(Rank.URGENT)

    @Operation
    fun acquireUrgent() = limiter.tryAcquire(Rank.URGENT) != null

    @Operation
    fun acquireBackground() = limiter.tryAcquire(Rank.BACKGROUND) != null

    /** Only the owner of a permit closes it, so this runs on one thread. */
    @Operation(nonParallelGroup = "holder")
    fun close() {
        permit?.close()
    }

    @Operation
    fun inFlight() = limiter.inFlight

    @Test
    fun `concurrent use is linearizable`() {
        ModelCheckingOptions().iterations(5).invocationsPerIteration(300).check(this::class)
    }

    @Test
    fun `lower ranks leave capacity free and closing a permit twice releases it once`() {
        val ten = InFlightLimiter(10, mapOf(Rank.STANDARD to 90, Rank.BACKGROUND to 70))
        val permits = listOf(Rank.BACKGROUND, Rank.STANDARD, Rank.URGENT).map { rank -> (1..20).mapNotNull { ten.tryAcquire(rank) } }
        assertEquals(listOf(7, 2, 1), permits.map { it.size })
        repeat(2) { permits[0][0].close() }
        assertEquals(9, ten.inFlight)
    }
}
