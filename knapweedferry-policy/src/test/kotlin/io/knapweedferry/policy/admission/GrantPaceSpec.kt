package io.knapweedferry.policy.admission

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against forecasts from too little, and against those that outlive the congestion that they were seen in. */
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
            Case("too little was seen", listOf(100, 200), 400, 5, null),
            Case("four grants in a second", listOf(200, 400, 600, 800), 1_000, 8, 1_000.0),
            Case("the next one is never hopeless", emptyList(), 1_900, 0, 0.0),
            Case("nothing was granted", emptyList(), 1_000, 3, 1_500.0),
            Case("old grants do not count", listOf(100, 200, 2_900), 3_000, 2, 1_000.0),
        )

    @Test
    fun `the forecast follows the grants of the last seconds`() {
        cases.forEach { case ->
            val time = TestTimeSource()
            val pace = GrantPace(time).apply { noteFull() }
            var nowMs = 0
            (case.grantsAtMs + case.atMs).forEach { atMs ->
                time += (atMs - nowMs).milliseconds
                nowMs = atMs
                if (atMs != case.atMs) pace.noteGrant()
            }
            assertEquals(case.waitMs, pace.waitMs(case.ahead), case.name)
        }
    }

    @Test
    fun `nothing is known of the time after the queue was empty`() {
        val time = TestTimeSource()
        val pace = GrantPace(time).apply { noteFull() }
        time += 1_000.milliseconds
        pace.noteIdle()
        assertEquals(null, pace.waitMs(3))
    }
}
