package io.knapweedferry.routing.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.EventLog
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.TestTimeSource

/** Guards against KV caches that cross availability zones needlessly, and against queues for the sake of the zone. */
internal class PrefillSelectionSpec {
    private val traits = CallTraits("r", 14_000, 3_000, 1_000, null, null)
    private val profile = EngineProfile(30_000, 2_000)

    private fun engine(
        id: String,
        zone: String,
        stage: EndpointStage,
    ) = RoutedEndpoint(EndpointId(id), ServiceName("llm"), InetSocketAddress(1), AvailabilityZone(zone), 64, false, stage, 1)

    private data class Case(
        val name: String,
        /** Prompts that this entry has sent to the engine in the zone of the decode engine. */
        val queuedNear: Int,
        val selected: String,
    )

    @Test
    fun `the engine in the zone of the decode engine is selected unless it has a queue`() {
        val near = engine("near", "b", EndpointStage.PREFILL)
        val far = engine("far", "a", EndpointStage.PREFILL)
        val decode = engine("decode", "b", EndpointStage.DECODE)
        listOf(Case("both idle", 0, "near"), Case("one prompt ahead", 1, "far"), Case("two prompts ahead", 2, "far")).forEach { case ->
            repeat(SEEDS) { seed ->
                // The entry itself is in the other zone.
                val selector = EndpointSelector(AvailabilityZone("a"), EventLog(sink = { _, _ -> }), TestTimeSource(), Random(seed))
                repeat(case.queuedNear) { selector.tracker(near.id).begin(4_000, 3_000, 100.0) }
                val selected = selector.selectPrefill(listOf(far, near, decode), traits, profile, decode)
                assertEquals(case.selected, selected?.endpoint?.id?.value, case.name)
            }
        }
    }

    private companion object {
        const val SEEDS = 50
    }
}
