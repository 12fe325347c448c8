package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.testing.standin.settings.EnginePerformance
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Continuous batching of one engine with a limited number of slots; each step generates one token for each stream in the batch. */
internal class Decoder(
    private val slots: Int,
    private val performance: EnginePerformance,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
    private val dependencies: DecoderDependencies,
) {
    private val streams = LinkedHashMap<String, DecodeStream>()
    private val waiting = mutableListOf<DecodeStream>()
    private val batch = mutableListOf<DecodeStream>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var nextSequence = 0L

    var usedSlots = 0
        private set

    val waitingStreams: Int get() = waiting.size

    val streamIds: Set<String> get() = streams.keys

    /** Starts a stream. If it is in progress, attaches it to [sink] and resends its tokens from the requested position. */
    fun generate(
        order: GenerateRequest,
        sink: TokenSink,
    ) {
        streams[order.id.value]?.let { return reattach(it, order.fromPosition, sink) }
        val stream = DecodeStream(order, nextSequence++)
        stream.sink = sink
        if (dependencies.imports.consume(stream.id)) stream.cachedTokens = stream.promptTokens
        streams[stream.id] = stream
        waiting += stream
        dependencies.counters.startedStreams++
        admit()
    }

    /** Detaches a stream from its broken connection; the stream keeps running. */
    fun detach(sink: TokenSink): DecodeStream? {
        val stream = streams.values.find { it.sink === sink } ?: return null
        stream.sink = null
        return stream
    }

    fun cancel(id: String) {
        val stream = streams[id] ?: return
        dependencies.counters.cancelledStreams++
        stream.writeFailure("cancelled", "the stream was cancelled")
        remove(stream)
    }

    /** Ends all streams; calls [notify] for each stream first, so that it can inform the client. */
    fun endAll(notify: (DecodeStream) -> Unit) {
        streams.values.toList().forEach {
            notify(it)
            remove(it)
        }
    }

    /** Runs the batch until cancelled. */
    suspend fun serve() {
        wakeUps.consumeEach { runBatch() }
    }

    private suspend fun runBatch() {
        val start = timeSource.markNow()
        var nextStep = Duration.ZERO
        while (batch.isNotEmpty()) {
            // Limits the catch-up after a delayed step, which would otherwise send a burst of tokens.
            nextStep = maxOf(nextStep, start.elapsedNow() - MAX_LAG) + stepTime()
            delay(nextStep - start.elapsedNow())
            if (!dependencies.faults().decodeStalled) batch.toList().forEach(::step)
        }
    }

    private fun stepTime(): Duration {
        val batchMs = performance.baseTokenMs + performance.tokenMsPerStream * (batch.size - 1)
        val interference = if (dependencies.prefills.isComputing) performance.prefillInterference else 1.0
        return (batchMs * interference * dependencies.faults().slowFactor).milliseconds
    }

    private fun step(stream: DecodeStream) {
        if (stream !in batch || !reserveMemory(stream)) return
        stream.writeToken(stream.position)
        stream.position++
        dependencies.counters.generatedTokens++
        if (stream.isFinished) finish(stream)
    }

    private fun reserveMemory(stream: DecodeStream): Boolean {
        while (!dependencies.memory.tryReserve(stream.id, stream.promptTokens + stream.position + 1)) {
            val victim = batch.maxWith(compareBy<DecodeStream> { it.order.priority }.thenBy { it.sequence })
            preempt(victim)
            if (victim === stream) return false
        }
        return true
    }

    /** Frees the memory of a stream and queues it again; its KV cache is recomputed later. */
    private fun preempt(stream: DecodeStream) {
        dependencies.counters.preemptedStreams++
        batch -= stream
        usedSlots--
        stream.cachedTokens = null
        waiting += stream
        dependencies.memory.free(stream.id)
        admit()
    }

    private fun admit() {
        while (usedSlots < slots && waiting.isNotEmpty()) {
            val stream = waiting.minWith(compareBy<DecodeStream> { it.order.priority }.thenBy { it.sequence })
            waiting -= stream
            usedSlots++
            stream.startJob = scope.launch { start(stream) }
        }
    }

    private suspend fun start(stream: DecodeStream) {
        val needed = stream.promptTokens + stream.position
        if (stream.cachedTokens != needed) {
            dependencies.prefills.run(stream.id, stream.order.prompt, needed, stream.cachedTokens, stream.order.priority)
        }
        stream.cachedTokens = needed
        stream.startJob = null
        if (stream.isFinished) return finish(stream)
        batch += stream
        wakeUps.trySend(Unit)
    }

    private fun reattach(
        stream: DecodeStream,
        fromPosition: Int,
        sink: TokenSink,
    ) {
        dependencies.counters.reattachedStreams++
        stream.sink?.abort()
        stream.sink = sink
        for (position in fromPosition until stream.position) stream.writeToken(position)
    }

    private fun finish(stream: DecodeStream) {
        dependencies.counters.finishedStreams++
        stream.writeEnd()
        remove(stream)
    }

    private fun remove(stream: DecodeStream) {
        streams -= stream.id
        if (!waiting.remove(stream)) usedSlots--
        batch -= stream
        stream.startJob?.cancel()
        stream.sink = null
        dependencies.memory.free(stream.id)
        admit()
    }

    private companion object {
        val MAX_LAG = 20.milliseconds
    }
}
