package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.engine.CacheEvent
import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.EngineOrder
import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.platform.engine.PrefillOrder
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.testing.standin.StandInAnswer
import io.knapweedferry.testing.standin.http.Admin
import io.knapweedferry.testing.standin.http.LostAnswer
import io.knapweedferry.testing.standin.http.StandInFailure
import io.knapweedferry.testing.standin.settings.EngineSettings
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Model engine that computes nothing but takes the time and memory of a real one. All its state is confined to a
 * dispatcher that runs one task at a time.
 */
internal class EngineStandIn(
    private val settings: EngineSettings,
    private val surroundings: EngineSurroundings,
) : Admin<EngineFaults, EngineLedger> {
    private val dispatcher = surroundings.dispatcher()
    private val confined = surroundings.scope + dispatcher
    private val timeScale = surroundings.timeScale
    private val timeSource = surroundings.timeSource
    private val counters = EngineCounters()
    private val memory = MemoryPool(settings.kvBlocks, settings.kvBlockTokens)
    private val events =
        CacheEventFeed(
            timeScale.cacheEventLagMs,
            timeScale.cacheEventLoss,
            Random(
                surroundings.seed + settings.name.hashCode(),
            ),
            timeSource,
        )
    private val cache = PrefixCache(settings.prefixCacheTokens, events::add)
    private val prefills = PrefillQueue(timeScale, memory, cache, counters) { faults.slowFactor }
    private val exports = KvExports(settings.name, timeScale.exportTtlMs, confined, memory, counters)
    private val imports = KvImports(this, surroundings.directory, confined, memory, counters)
    private val decoder =
        Decoder(settings.slots, timeScale, confined, timeSource, DecoderParts(memory, prefills, imports, counters) { faults })
    private val loader =
        ModelLoader(
            settings,
            timeScale.adapterLoadMs,
            surroundings.weights,
            confined,
            counters,
            ::unload,
        )

    private val loadReport = LoadReport(settings, timeScale.loadLagMs, memory, decoder, loader)

    @Volatile
    override var faults = EngineFaults()
    override val faultsSerializer = EngineFaults.serializer()
    override val ledgerSerializer = EngineLedger.serializer()

    /** Base URL that other engines reach this one at. */
    @Volatile
    var url: String = settings.url

    val linkName: String? get() = settings.link

    init {
        memory.onFreed = prefills::wake
        confined.launch { prefills.serve() }
        confined.launch { decoder.serve() }
        confined.launch { loadReport.serve() }
    }

    suspend fun prefill(order: PrefillOrder): PrefillResult =
        call {
            serve(order.model)
            val id = order.id.value
            val tokens = StandInAnswer.promptTokens(order.prompt)
            fit(tokens)
            exports.ofRequest(id)?.let { return@call PrefillResult(KvSource(it.handle, url, tokens), tokens - it.computedTokens) }
            if (prefills.has(id)) throw StandInFailure(CONFLICT, "duplicate", "this prefill is in progress")
            val cached =
                withTimeoutOrNull(order.timeoutMs) { prefills.run(id, order.prompt, tokens, null, order.priority) } ?: run {
                    memory.free(id)
                    throw StandInFailure.notDone("prefill not finished in time and dropped")
                }
            val export = exports.publish(id, tokens, tokens - cached)
            PrefillResult(KvSource(export.handle, url, tokens), cached)
        }

    suspend fun importKv(request: ImportRequest) = call { imports.run(request) }

    /** Returns once the stream is accepted; [sink] gets the answer. */
    suspend fun generate(
        order: GenerateOrder,
        sink: TokenSink,
    ) = call {
        serve(order.model)
        val answer = StandInAnswer(order.prompt, order.maxOutputTokens)
        fit(StandInAnswer.promptTokens(order.prompt) + answer.length)
        decoder.generate(order, sink)
    }

    /** Tells the engine that the connection of [sink] is broken. */
    fun disconnected(sink: TokenSink) {
        confined.launch {
            val stream = decoder.detach(sink) ?: return@launch
            counters.brokenConnections++
            if (settings.cancelOnDisconnect) decoder.cancel(stream.id)
        }
    }

    suspend fun cancel(id: String) =
        call {
            decoder.cancel(id)
            prefills.cancel(id, StandInFailure(CONFLICT, "cancelled", "the prefill was cancelled"))
            imports.cancel(id)
            exports.ofRequest(id)?.let(exports::drop)
            memory.free(id)
        }

    suspend fun release(handle: KvHandle) = call { exports.drop(handle) }

    suspend fun held(): List<String> = call { heldIds() }

    suspend fun load(): EngineLoad = call { loadReport.reported }

    suspend fun cacheEvents(after: Long): List<CacheEvent> = call { events.after(after) }

    suspend fun order(order: EngineOrder) = call { loader.accept(order) }

    /** Loses everything but the model, as after a restart of the engine process. */
    suspend fun crash() =
        withContext(dispatcher) {
            counters.crashes++
            decoder.endAll { it.sink?.cut() }
            prefills.ids.forEach { prefills.cancel(it, LostAnswer()) }
            imports.cancelAll()
            exports.dropAll()
            memory.owners.toList().forEach(memory::free)
            cache.clear()
        }

    /** Starts an export to another engine; null if the cache is gone. */
    suspend fun claimExport(handle: KvHandle): KvExport? = withContext(dispatcher) { exports.claim(handle) }

    fun settleExport(
        export: KvExport,
        imported: Boolean,
    ) {
        confined.launch { exports.settle(export, imported) }
    }

    override suspend fun ledger(): EngineLedger =
        withContext(dispatcher) {
            EngineLedger(
                name = settings.name,
                load = loadReport.current(),
                peakKvBlocks = memory.peak,
                held = heldIds(),
                queuedPrefills = prefills.size,
                waitingStreams = decoder.waitingStreams,
                adapter = loader.loaded?.adapter,
                highestFencing = loader.highestFencing,
                orders = loader.orders,
                counters = counters.copy(),
            )
        }

    private suspend fun <T> call(block: suspend () -> T): T {
        faults.outage.apply()
        delay(faults.delayMs)
        return withContext(dispatcher) { block() }
    }

    private fun serve(model: String) {
        val loaded = loader.loaded ?: throw StandInFailure.notDone("weights are loading")
        if (loaded.model != model) throw StandInFailure(CONFLICT, "wrong_model", "this engine serves ${loaded.model}")
    }

    private fun fit(tokens: Int) {
        val capacity = settings.kvBlocks * settings.kvBlockTokens
        if (tokens > capacity) throw StandInFailure(TOO_LARGE, "too_long", "$tokens tokens exceed the memory of $capacity tokens")
    }

    private fun unload() {
        decoder.endAll { it.writeFailure("unloaded", "the engine changes its model") }
        prefills.ids.forEach { id ->
            prefills.cancel(id, StandInFailure.notDone("the engine changes its model"))
            memory.free(id)
        }
        imports.cancelAll()
        exports.dropAll()
        memory.owners.toList().forEach(memory::free)
        cache.clear()
    }

    private fun heldIds(): List<String> = (memory.owners + prefills.ids + decoder.ids).toList()

    private companion object {
        const val CONFLICT = 409
        const val TOO_LARGE = 413
    }
}
