package io.knapweedferry.policy.routing

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against preferring a loaded, slow, failing or unreachable endpoint to an idle one. */
internal class EndpointCostSpec {
    private val idle = EndpointCondition(EndpointLoad.NONE, 6, 30_000, true, false, 0.0, 1.0, 0)

    private val worse =
        listOf(
            idle.copy(load = EndpointLoad(6.0, 20_000.0, 3_000.0)),
            idle.copy(load = EndpointLoad(9.0, 29_000.0, 0.0)),
            idle.copy(isSameZone = false),
            idle.copy(isAvoided = true),
            idle.copy(failureRate = 0.3),
            idle.copy(latencyRatio = 4.0),
            idle.copy(overdueMs = 100),
        )

    @Test
    fun `load and each kind of fault raise the cost of a plain endpoint`() {
        worse.forEach { assertTrue(EndpointCost.plain(it, 20.0) > EndpointCost.plain(idle, 20.0), "$it") }
    }

    @Test
    fun `load and each kind of fault raise the cost of an engine`() {
        worse.forEach { assertTrue(EndpointCost.engine(it, 3_000, 4_000, 33.0) > EndpointCost.engine(idle, 3_000, 4_000, 33.0), "$it") }
    }

    @Test
    fun `an unreachable endpoint costs more than any loaded one`() {
        val loaded = idle.copy(load = EndpointLoad(60.0, 60_000.0, 60_000.0))
        assertTrue(EndpointCost.engine(idle.copy(isAvoided = true), 3_000, 4_000, 33.0) > EndpointCost.engine(loaded, 3_000, 4_000, 33.0))
    }
}
