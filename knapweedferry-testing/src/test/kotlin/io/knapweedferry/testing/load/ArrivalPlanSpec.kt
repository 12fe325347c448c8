package io.knapweedferry.testing.load

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against runs that are not reproducible, wrong arrival rates, and bounds below what a fleet could serve. */
internal class ArrivalPlanSpec {
    private val chat = LoadWork("chat", "urgent", 50.0, model = "m", answerTokens = TokenDistribution(10))
    private val scenario =
        LoadScenario(
            durationMs = 60_000,
            entries = listOf("http://a", "http://b"),
            work = listOf(chat),
            organisations = listOf(LoadOrganisation("big", "1", weight = 3.0), LoadOrganisation("small", "2")),
            targets = listOf(LoadTarget("urgent", 500.0, 25.0)),
            floods = listOf(LoadFlood("chat", 5.0, 20_000, 10_000)),
        )

    @Test
    fun `the plan is deterministic for a seed, and floods multiply the arrival rate`() {
        val requests = ArrivalPlan(scenario).requests()
        assertEquals(requests, ArrivalPlan(scenario).requests())
        assertNotEquals(requests, ArrivalPlan(scenario.copy(seed = 2)).requests())
        val (duringFlood, outsideFlood) = requests.partition { it.atMs in 20_000 until 30_000 }
        assertTrue(duringFlood.size in 2_300..2_700 && outsideFlood.size in 2_300..2_700, "${duringFlood.size} and ${outsideFlood.size}")
        assertTrue(requests.count { it.organisation.name == "big" } / requests.size.toDouble() in 0.7..0.8)
        assertTrue(requests.zipWithNext().all { (a, b) -> a.atMs <= b.atMs && a.sequence + 1 == b.sequence })
    }

    @Test
    fun `the bound is limited by the scarcest resource in each window`() {
        val cases =
            listOf(
                // All 100 requests of 10 tokens arrive in the first 100 ms; the last answer is due 750 ms later.
                LoadCapacity() to 100.0,
                LoadCapacity(decodeTokensPerSecond = 100_000.0) to 100.0,
                LoadCapacity(decodeTokensPerSecond = 500.0) to 849.0 * 500 / 1_000 / 10,
                LoadCapacity(decodeTokensPerSecond = 500.0, prefillTokensPerSecond = 1_000.0) to 849.0 / 100,
            )
        val requests = (0 until 100).map { PlannedRequest(it, it.toLong(), chat, scenario.organisations[0], "", 100, 10, 0) }
        for ((capacity, bound) in cases) {
            assertEquals(bound, GoodputBound(scenario.copy(capacity = capacity)).of(requests), 0.001, "$capacity")
        }
    }

    @Test
    fun `a late, slow or failed answer is not within target`() {
        val request = PlannedRequest(0, 0, chat, scenario.organisations[0], "", 100, 10, 0)
        val good = RequestResult(request, ResultKind.COMPLETED, firstTokenMs = 400.0, endMs = 600.0, tokens = 9)
        val results =
            listOf(good, good.copy(firstTokenMs = 501.0), good.copy(endMs = 601.0), good.copy(kind = ResultKind.FAILED, reason = "x"))
        val report = ReportBuilder(scenario).build(results, 0.0)
        assertEquals(1, report.inTarget)
        assertEquals(mapOf("x" to 1), report.ranks.single().failures)
    }

    @Test
    fun `a request counts as refused only if it certainly was not run`() {
        val cases =
            listOf(
                """{"code":"queue_full"}""" to ResultKind.REFUSED,
                """{"type":"urn:problem:queue_full","status":503}""" to ResultKind.REFUSED,
                """{"error":{"code":"overloaded"}}""" to ResultKind.REFUSED,
                """{"code":"deadline","outcome":"unknown"}""" to ResultKind.FAILED,
                """{"code":"engine_lost"}""" to ResultKind.FAILED,
                "no json" to ResultKind.FAILED,
            )
        for ((text, kind) in cases) assertEquals(kind, ProblemReader.kind(text, ProblemReader.code(text, "http_503"), tokens = 0), text)
        assertEquals(ResultKind.FAILED, ProblemReader.kind("""{"code":"queue_full"}""", "queue_full", tokens = 1))
    }
}
