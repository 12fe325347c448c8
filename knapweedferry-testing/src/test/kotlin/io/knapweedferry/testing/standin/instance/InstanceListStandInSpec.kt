package io.knapweedferry.testing.standin.instance

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.InstanceId
import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against an instance list that shows changes immediately, which would hide faults in code that relies on it. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class InstanceListStandInSpec {
    @Test
    fun `each change becomes visible after the lag`() =
        runTest {
            val list = InstanceListStandIn(1_000, listOf(instance("a")), testTimeSource)
            list.put(instance("b"))
            delay(500)
            list.markLeaving("a")
            assertEquals(listOf("a LIVE"), shown(list))
            delay(500)
            assertEquals(listOf("a LIVE", "b LIVE"), shown(list))
            delay(500)
            assertEquals(listOf("a LEAVING", "b LIVE"), shown(list))
            list.remove("a")
            list.faults = InstanceListFaults(lagMs = 0)
            assertEquals(listOf("b LIVE"), shown(list))
        }

    private suspend fun shown(list: InstanceListStandIn) = list.list().map { "${it.instance.value} ${it.state}" }

    private fun instance(id: String) =
        ListedInstance(InstanceId(id), AvailabilityZone("Lowell"), "127.0.0.1:7000", InstanceState.LIVE, emptyList())
}
