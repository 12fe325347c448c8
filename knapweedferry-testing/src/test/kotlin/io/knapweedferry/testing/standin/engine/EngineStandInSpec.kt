package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineRequestId
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.testing.standin.StandInAnswer
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.settings.EnginePerformance
import io.knapweedferry.testing.standin.settings.EngineSettings
import io.knapweedferry.testing.standin.settings.LinkSettings
import io.knapweedferry.testing.standin.settings.WeightSettings
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against simulated engines that are faster, use less memory or keep exports longer than real engines do. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EngineStandInSpec {
    private val performance =
        EnginePerformance(
            prefillMsPer1000Tokens = 100.0,
            baseTokenMs = 10.0,
            tokenMsPerStream = 1.0,
            kvBytesPerToken = 1_000,
            exportTtlMs = 800,
            cacheEventLagMs = 500,
            cacheEventLoss = 0.0,
        )

    @Test
    fun `prefill time is proportional to the uncached tokens, and an unused export is evicted and counted as wasted`() =
        runTest {
            val engine = engines().first()
            assertEquals(0, engine.prefill(prefillOrder("p1")).cachedTokens)
            // Each chunk is rounded up to a millisecond.
            assertEquals(1_001, currentTime)
            assertEquals(9_984, engine.prefill(prefillOrder("p2")).cachedTokens)
            assertEquals(1_003, currentTime)
            delay(801)
            val statistics = engine.statistics()
            assertEquals(2L to 10_016L, statistics.counters.wastedPrefills to statistics.counters.wastedPrefillTokens)
            assertEquals(0, statistics.load.usedKvBlocks)
        }

    @Test
    fun `concurrent imports share the link bandwidth and prevent eviction of the export`() =
        runTest {
            val (from, to) = engines()
            val sources = listOf("p1", "p2").map { it to from.prefill(prefillOrder(it)).source }
            val start = currentTime
            sources.map { (id, source) -> async { to.importKv(importRequest(id, source)) } }.forEach { it.await() }
            // Two caches of 10 MB each at 10 MB/s.
            assertEquals(2_000.0, (currentTime - start).toDouble(), 10.0)
            runCurrent()
            assertEquals(listOf(2L, 0L), from.statistics().counters.let { listOf(it.importedExports, it.wastedPrefills) })
            assertEquals(6, to.statistics().load.usedKvBlocks)
        }

    @Test
    fun `a stalled import times out, releases its memory and can be retried from the same export`() =
        runTest {
            val (from, to) = engines()
            val source = from.prefill(prefillOrder("p")).source
            to.faults = EngineFaults(transferStalled = true)
            assertEquals(503, failure { to.importKv(importRequest("d", source)) }?.status)
            assertEquals(0, to.statistics().load.usedKvBlocks)
            to.faults = EngineFaults()
            to.importKv(importRequest("d", source))
            assertEquals(1, to.statistics().counters.imports)
        }

    @Test
    fun `the inter-token time grows with the batch size`() =
        runTest {
            val engine = engines().first()
            val alone = duration { generate(engine, "a", tokens = 50).await() }
            val together =
                duration {
                    List(11) { generate(engine, "b$it", tokens = 50) }.forEach { it.await() }
                }
            assertEquals(500.0, alone.toDouble(), 10.0)
            assertEquals(1_000.0, together.toDouble(), 30.0)
        }

    @Test
    fun `a free slot goes to the stream of highest priority, and queueing does not change the answers`() =
        runTest {
            val engine = engines(EngineSettings("e", 0, "fleet", slots = 1)).first()
            val order = mutableListOf<String>()
            listOf("first" to 1, "late" to 2, "urgent" to 0).forEach { (id, priority) ->
                launch {
                    assertEquals(StandInAnswer(PROMPT, 20).texts(), generate(engine, id, 20, priority).await().texts())
                    order += id
                }
                runCurrent()
            }
            delay(5_000)
            assertEquals(listOf("first", "urgent", "late"), order)
        }

    @Test
    fun `a stream preempted for lack of memory still returns its whole answer`() =
        runTest {
            val engine = engines(EngineSettings("e", 0, "fleet", kvBlocks = 3, kvBlockTokens = 50)).first()
            val answers = listOf(0, 1).map { generate(engine, "s$it", tokens = 90, priority = it) }.map { it.await() }
            answers.forEach { assertEquals(StandInAnswer(PROMPT, 90).texts(), it.texts()) }
            assertTrue(engine.statistics().counters.preemptedStreams > 0)
            assertEquals(0, engine.statistics().load.usedKvBlocks)
        }

    @Test
    fun `only engines that check fencing reject outdated orders, and loading weights takes time`() =
        runTest {
            listOf(true to 409, false to null).forEach { (checks, status) ->
                val engine = engines(EngineSettings("e$checks", 0, "fleet", checksFencing = checks)).first()
                engine.order(order("2", fencing = 5))
                assertEquals(status, failure { engine.order(order("1", fencing = 4)) }?.status)
            }
            val engine = engines().first()
            engine.order(order("2", fencing = 1))
            runCurrent()
            assertEquals(503, failure { engine.prefill(prefillOrder("p")) }?.status)
            // 5 MB of weights at 1 MB/s, then the adapter.
            delay(5_300)
            assertEquals("2", engine.statistics().load.version)
        }

    @Test
    fun `cache events are published after the lag`() =
        runTest {
            val engine = engines().first()
            engine.prefill(prefillOrder("p"))
            delay(499)
            assertEquals(0, engine.cacheEvents(0).size)
            delay(1)
            assertEquals((1L..39L).toList(), engine.cacheEvents(0).map { it.sequence })
        }

    private fun TestScope.engines(vararg settings: EngineSettings): List<EngineStandIn> {
        val directory = EngineDirectory(listOf(LinkSettings("link", 10_000_000)), performance, testTimeSource)
        val weights = WeightStoreStandIn(1_000_000, listOf("1", "2").map { WeightSettings("fleet", it, 5_000_000) }, testTimeSource)
        val scope = CoroutineScope(backgroundScope.coroutineContext)
        val environment =
            EngineEnvironment(performance, directory, weights, 1, scope, testTimeSource) { StandardTestDispatcher(testScheduler) }
        val chosen =
            settings.toList().ifEmpty {
                listOf(
                    "from",
                    "to",
                ).map { EngineSettings(it, 0, "fleet", link = "link", url = "http://$it") }
            }
        return chosen.map { EngineStandIn(it, environment).also(directory::add) }
    }

    private fun TestScope.generate(
        engine: EngineStandIn,
        id: String,
        tokens: Int,
        priority: Int = 0,
    ) = async {
        val sink = ListSink()
        engine.generate(GenerateRequest(EngineRequestId(id), "fleet", PROMPT, tokens, priority, 0), sink)
        sink.ended.await()
        sink
    }

    private suspend fun TestScope.duration(block: suspend () -> Unit): Long {
        val start = currentTime
        block()
        return currentTime - start
    }

    private suspend fun failure(block: suspend () -> Unit): ErrorResponseException? =
        runCatching {
            block()
        }.exceptionOrNull() as ErrorResponseException?

    private fun prefillOrder(id: String) = PrefillRequest(EngineRequestId(id), "fleet", LONG_PROMPT, 0, 5_000)

    private fun importRequest(
        id: String,
        source: KvSource,
    ) = ImportRequest(EngineRequestId(id), source, 3_000)

    private fun order(
        version: String,
        fencing: Long,
    ) = EngineCommand("fleet", version, null, "decode", fencing, "i")

    private companion object {
        const val PROMPT = "[[answer=90]]"
        val LONG_PROMPT = "x".repeat(40_000)
    }
}
