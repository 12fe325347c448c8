package io.knapweedferry.policy.admission

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Guards against estimates from too few observations, and against estimates that outlive the congestion they were observed
 * in.
 */
internal class GrantPaceSpec {
    private data class Case(
        val name: String,
        val grantsAtMs: List<Int>,
        val atMs: Int,
        val ahead: Int,
        val waitMs: Double?,
    )

    private val cases =
        listOf(
            Case("too few observations", listOf(100, 200), 400, 5, null),
            Case("four grants in a second", listOf(200, 400, 600, 800), 1_000, 8, 1_000.0),
            Case("the first in the queue has no wait", emptyList(), 1_900, 0, 0.0),
            Case("no grants", emptyList(), 1_000, 3, 1_500.0),
            Case("grants outside the window are ignored", listOf(100, 200, 2_900), 3_000, 2, 1_000.0),
        )

    @Test
    fun `the estimate follows the grant rate of the last seconds`() {
        cases.forEach { case ->
            val time = TestTimeSource()
            val estimator = GrantRateEstimator(time).apply { recordNoCapacity() }
            var nowMs = 0
            (case.grantsAtMs + case.atMs).forEach { atMs ->
                time += (atMs - nowMs).milliseconds
                nowMs = atMs
                if (atMs != case.atMs) estimator.recordGrant()
            }
            assertEquals(case.waitMs, estimator.waitMs(case.ahead), case.name)
        }
    }

    @Test
    fun `an empty queue discards all observations`() {
        val time = TestTimeSource()
        val estimator = GrantRateEstimator(time).apply { recordNoCapacity() }
        time += 1_000.milliseconds
        estimator.recordQueueEmpty()
        assertEquals(null, estimator.waitMs(3))
    }
}
