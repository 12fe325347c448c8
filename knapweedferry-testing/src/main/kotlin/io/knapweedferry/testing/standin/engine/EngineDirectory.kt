package io.knapweedferry.testing.standin.engine

import io.knapweedferry.testing.standin.settings.EnginePerformance
import io.knapweedferry.testing.standin.settings.LinkSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Engines of the process by their advertised URL, and the network links between them. */
internal class EngineDirectory(
    links: List<LinkSettings>,
    private val performance: EnginePerformance,
    private val timeSource: TimeSource,
) {
    private val engines = ConcurrentHashMap<String, EngineStandIn>()
    private val links = links.associate { it.name to Link(it.name, it.rateBytesPerSecond) }

    fun add(engine: EngineStandIn) {
        engines[engine.url] = engine
    }

    fun find(url: String): EngineStandIn? = engines[url.trimEnd('/')]

    /** Suspends for the time it takes to transfer the KV cache of [tokens] tokens over the links of both engines. */
    suspend fun transfer(
        from: EngineStandIn,
        to: EngineStandIn,
        tokens: Int,
    ) {
        val route = setOfNotNull(from.linkName, to.linkName).mapNotNull(links::get)
        Link.transfer(tokens * performance.kvBytesPerToken, route, timeSource) {
            from.faults.transferStalled || to.faults.transferStalled
        }
    }
}
