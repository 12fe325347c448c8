package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.engine.CacheEvent
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.testing.standin.StandInAnswer
import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.http.DroppedConnectionException
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.settings.EngineSettings
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Simulated model engine: it runs no model, but requests take the time and memory that they would take in a real engine.
 * All state is confined to a dispatcher that runs one task at a time.
 */
internal class EngineStandIn(
    private val settings: EngineSettings,
    private val environment: EngineEnvironment,
) : AdminTarget<EngineFaults, EngineStatistics> {
    private val dispatcher = environment.dispatcher()
    private val engineScope = environment.scope + dispatcher
    private val performance = environment.enginePerformance
    private val timeSource = environment.timeSource
    private val counters = EngineCounters()
    private val memory = MemoryPool(settings.kvBlocks, settings.kvBlockTokens)
    private val events =
        CacheEventFeed(
            performance.cacheEventLagMs,
            performance.cacheEventLoss,
            Random(
                environment.seed + settings.name.hashCode(),
            ),
            timeSource,
        )
    private val cache = PrefixCache(settings.prefixCacheTokens, events::add)
    private val prefills = PrefillQueue(performance, memory, cache, counters) { faults.slowFactor }
    private val exports = KvExports(settings.name, performance.exportTtlMs, engineScope, memory, counters)
    private val imports = KvImports(this, environment.directory, engineScope, memory, counters)
    private val decoder =
        Decoder(settings.slots, performance, engineScope, timeSource, DecoderDependencies(memory, prefills, imports, counters) { faults })
    private val loader =
        ModelLoader(
            settings,
            performance.adapterLoadMs,
            environment.weights,
            engineScope,
            counters,
            ::unload,
        )

    private val loadReporter = LoadReporter(settings, performance.loadLagMs, memory, decoder, loader)

    @Volatile
    override var faults = EngineFaults()
    override val faultsSerializer = EngineFaults.serializer()
    override val statisticsSerializer = EngineStatistics.serializer()

    /** Base URL at which other engines reach this one. */
    @Volatile
    var url: String = settings.url

    val linkName: String? get() = settings.link

    init {
        memory.onFreed = prefills::wake
        engineScope.launch { prefills.serve() }
        engineScope.launch { decoder.serve() }
        engineScope.launch { loadReporter.serve() }
    }

    suspend fun prefill(order: PrefillRequest): PrefillResult =
        call {
            requireLoaded(order.model)
            val id = order.id.value
            val tokens = StandInAnswer.promptTokens(order.prompt)
            requireFits(tokens)
            exports.ofRequest(id)?.let { return@call PrefillResult(KvSource(it.handle, url, tokens), tokens - it.computedTokens) }
            if (prefills.contains(id)) throw ErrorResponseException(CONFLICT, "duplicate", "a prefill with this id is in progress")
            val cached =
                withTimeoutOrNull(order.timeoutMs) { prefills.run(id, order.prompt, tokens, null, order.priority) } ?: run {
                    memory.free(id)
                    throw ErrorResponseException.notExecuted("prefill timed out and was cancelled")
                }
            val export = exports.publish(id, tokens, tokens - cached)
            PrefillResult(KvSource(export.handle, url, tokens), cached)
        }

    suspend fun importKv(request: ImportRequest) = call { imports.run(request) }

    /** Returns once the stream is accepted; the answer is written to [sink]. */
    suspend fun generate(
        order: GenerateRequest,
        sink: TokenSink,
    ) = call {
        requireLoaded(order.model)
        val answer = StandInAnswer(order.prompt, order.maxOutputTokens)
        requireFits(StandInAnswer.promptTokens(order.prompt) + answer.length)
        decoder.generate(order, sink)
    }

    /** Called when the connection of [sink] breaks. */
    fun disconnected(sink: TokenSink) {
        engineScope.launch {
            val stream = decoder.detach(sink) ?: return@launch
            counters.brokenConnections++
            if (settings.cancelOnDisconnect) decoder.cancel(stream.id)
        }
    }

    suspend fun cancel(id: String) =
        call {
            decoder.cancel(id)
            prefills.cancel(id, ErrorResponseException(CONFLICT, "cancelled", "the prefill was cancelled"))
            imports.cancel(id)
            exports.ofRequest(id)?.let(exports::drop)
            memory.free(id)
        }

    suspend fun release(handle: KvHandle) = call { exports.drop(handle) }

    suspend fun held(): List<String> = call { activeRequestIds() }

    suspend fun load(): EngineLoad = call { loadReporter.reported }

    suspend fun cacheEvents(after: Long): List<CacheEvent> = call { events.after(after) }

    suspend fun order(order: EngineCommand) = call { loader.accept(order) }

    /** Simulates a restart of the engine process: all state except the loaded model is lost. */
    suspend fun crash() =
        withContext(dispatcher) {
            counters.crashes++
            decoder.endAll { it.sink?.abort() }
            prefills.ids.forEach { prefills.cancel(it, DroppedConnectionException()) }
            imports.cancelAll()
            exports.dropAll()
            memory.owners.toList().forEach(memory::free)
            cache.clear()
        }

    /** Starts the transfer of an exported KV cache to another engine; null if it was evicted. */
    suspend fun beginExport(handle: KvHandle): KvExport? = withContext(dispatcher) { exports.beginTransfer(handle) }

    fun endExport(
        export: KvExport,
        imported: Boolean,
    ) {
        engineScope.launch { exports.endTransfer(export, imported) }
    }

    override suspend fun statistics(): EngineStatistics =
        withContext(dispatcher) {
            EngineStatistics(
                name = settings.name,
                load = loadReporter.current(),
                peakKvBlocks = memory.peakUsedBlocks,
                held = activeRequestIds(),
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

    private fun requireLoaded(model: String) {
        val loaded = loader.loaded ?: throw ErrorResponseException.notExecuted("weights are loading")
        if (loaded.model != model) throw ErrorResponseException(CONFLICT, "wrong_model", "this engine serves ${loaded.model}")
    }

    private fun requireFits(tokens: Int) {
        val capacity = settings.kvBlocks * settings.kvBlockTokens
        if (tokens > capacity) throw ErrorResponseException(TOO_LARGE, "too_long", "$tokens tokens exceed the memory of $capacity tokens")
    }

    private fun unload() {
        decoder.endAll { it.writeFailure("unloaded", "the engine is switching to another model") }
        prefills.ids.forEach { id ->
            prefills.cancel(id, ErrorResponseException.notExecuted("the engine is switching to another model"))
            memory.free(id)
        }
        imports.cancelAll()
        exports.dropAll()
        memory.owners.toList().forEach(memory::free)
        cache.clear()
    }

    private fun activeRequestIds(): List<String> = (memory.owners + prefills.ids + decoder.streamIds).toList()

    private companion object {
        const val CONFLICT = 409
        const val TOO_LARGE = 413
    }
}
