package io.knapweedferry.policy.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against avoiding an endpoint forever after a fault, and against using it as if nothing had happened. */
internal class EndpointHealthSpec {
    private val time = TestTimeSource()
    private val health = EndpointHealth(time)

    @Test
    fun `the avoidance time grows with each connection failure and ends with a response`() {
        health.recordUnreachable()
        assertTrue(health.isAvoided())
        time += 301.milliseconds
        assertFalse(health.isAvoided())
        health.recordUnreachable()
        time += 301.milliseconds
        assertTrue(health.isAvoided())
        health.recordResponse(10, 10.0)
        assertFalse(health.isAvoided())
    }

    @Test
    fun `the avoidance time is bounded`() {
        repeat(50) { health.recordUnreachable() }
        time += 2_401.milliseconds
        assertFalse(health.isAvoided())
    }

    /** Guards against an engine that keeps granting reservations while it changes its stage and refuses every run. */
    @Test
    fun `an endpoint that refuses reserved runs is avoided, from the second refusal if the cause is uncertain`() {
        health.recordRunRefused(isCertain = false)
        assertFalse(health.isAvoided())
        health.recordRunRefused(isCertain = false)
        time += 1_999.milliseconds
        assertTrue(health.isAvoided())
        health.recordResponse(10, 10.0)
        health.recordRunRefused(isCertain = true)
        assertTrue(health.isAvoided())
        time += 1_001.milliseconds
        assertFalse(health.isAvoided())
    }

    /** Guards against an engine that is tried again without a pause because all the others are avoided too. */
    @Test
    fun `an endpoint that refused a run is not tried for a second, whatever makes it avoided for longer`() {
        health.recordUnreachable()
        assertFalse(health.hasRefusedRun())
        health.recordRunRefused(isCertain = false)
        assertFalse(health.hasRefusedRun())
        repeat(5) { health.recordRunRefused(isCertain = true) }
        time += 999.milliseconds
        assertTrue(health.hasRefusedRun())
        time += 1.milliseconds
        assertFalse(health.hasRefusedRun())
        assertTrue(health.isAvoided())
        health.recordRunRefused(isCertain = true)
        health.recordResponse(10, 10.0)
        assertFalse(health.hasRefusedRun())
    }

    /** Guards against a second fault that shortens a longer avoidance time. */
    @Test
    fun `a replaced endpoint stays avoided when it is unreachable as well`() {
        health.recordReplaced()
        health.recordUnreachable()
        time += 9_000.milliseconds
        assertTrue(health.isAvoided())
    }

    @Test
    fun `the failure rate and the latency ratio decay over time`() {
        repeat(20) { health.recordFailure() }
        repeat(20) { health.recordResponse(200, 20.0) }
        val latencyRatio = health.latencyRatio()
        assertTrue(latencyRatio > 5)
        time += 40.seconds
        assertEquals(1.0, health.latencyRatio(), 0.1)
        assertEquals(0.0, health.failureRate(), 0.01)
    }
}
