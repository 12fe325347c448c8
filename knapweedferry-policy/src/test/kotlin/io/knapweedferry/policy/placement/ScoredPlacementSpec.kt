package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Rank
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against placement that ignores known endpoint state, trusts stale load reports, or sends all entries to one
 * endpoint.
 */
internal class ScoredPlacementSpec {
    private val placement = ScoredPlacement(Random(1))

    @Test
    fun `the better of two endpoints comes first`() {
        val cases =
            mapOf(
                "shorter wait" to (candidate("a", load(waitMs = 50)) to candidate("b", load(waitMs = 200))),
                "fewer outstanding" to (candidate("a", load()) to candidate("b", load(), outstanding = 5)),
                "free memory" to (candidate("a", load(freeKvBlocks = 8)) to candidate("b", load(freeKvBlocks = 2))),
                "cached prefix" to (candidate("a", load(), cached = 8_000) to candidate("b", load())),
                "short queue against cached prefix" to
                    (candidate("a", load(waitMs = 0)) to candidate("b", load(waitMs = 900), cached = 8_000)),
                "cached prefix against short queue" to
                    (candidate("a", load(waitMs = 100), cached = 8_000) to candidate("b", load(waitMs = 0))),
                "fresh report against stale" to (candidate("a", load(waitMs = 0)) to candidate("b", load(waitMs = 0), ageMs = 5_000)),
                "old report of a long wait against a fresh one" to
                    (candidate("a", load(waitMs = 800), ageMs = 5_000) to candidate("b", load(waitMs = 800))),
            )
        for ((name, pair) in cases) {
            val others = listOf(candidate("far", load(waitMs = if (name.startsWith("old")) 0 else 5_000)))
            val order = placement.order(listOf(pair.second, pair.first) + others, request()).map { it.endpoint.value }
            assertTrue(order.indexOf("a") < order.indexOf("b"), "$name: $order")
        }
    }

    @Test
    fun `urgent work ignores a queue of background work`() {
        val flooded = candidate("flooded", load(waitMs = 100, queuedBackground = 100))
        val standard = candidate("standard", load(waitMs = 200))
        assertEquals(
            "flooded",
            placement
                .order(listOf(standard, flooded), request(Rank.URGENT))
                .first()
                .endpoint.value,
        )
        assertEquals(
            "standard",
            placement
                .order(listOf(standard, flooded), request(Rank.BACKGROUND))
                .first()
                .endpoint.value,
        )
    }

    @Test
    fun `an endpoint without enough total memory is excluded, a busy one is not`() {
        val small = candidate("small", load()).copy(totalKvBlocks = 3)
        val busy = candidate("busy", load(freeKvBlocks = 0)).copy(totalKvBlocks = 100)
        assertEquals(listOf(busy), placement.order(listOf(small, busy), request()))
    }

    @Test
    fun `entries with equal information spread over equal endpoints and prefer their availability zone`() {
        val equal = (0 until 10).map { candidate("e$it", load()) }
        val worse = candidate("worse", load(waitMs = 300))
        val firsts =
            (0 until 1_000).map {
                ScoredPlacement(Random(it))
                    .order(equal + worse, request())
                    .first()
                    .endpoint.value
            }
        val counts = firsts.groupingBy { it }.eachCount()
        assertTrue(counts.size == 10 && counts.values.max() < 300, "first choices: $counts")
        val near = candidate("near", load())
        val other = candidate("other", load(), zone = "z2")
        val orders = (0 until 1_000).map { ScoredPlacement(Random(it)).order(listOf(near, other), request()) }
        assertTrue(orders.count { it.first() == near } in 650..850, "the better of two random choices is in the same zone 3 times out of 4")
    }

    private fun request(rank: Rank = Rank.STANDARD) = PlacementRequest(rank, promptTokens = 10_000, kvBlocks = 4, AvailabilityZone("z1"))

    private fun candidate(
        name: String,
        load: LoadSummary?,
        ageMs: Long = 0,
        outstanding: Int = 0,
        cached: Int = 0,
        zone: String = "z1",
    ) = PlacementCandidate(EndpointId(name), "", AvailabilityZone(zone), load, ageMs, outstanding, cached)

    private fun load(
        waitMs: Int = 0,
        freeKvBlocks: Int = 50,
        queuedBackground: Int = 0,
    ) = LoadSummary(EndpointId("e"), 4, freeKvBlocks, 0, 0, queuedBackground, waitMs, 20)
}
