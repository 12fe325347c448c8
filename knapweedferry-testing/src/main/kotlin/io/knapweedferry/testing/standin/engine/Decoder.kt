package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.testing.standin.settings.TimeScale
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Slots and the continuous batch of one engine: each step produces one token for each stream in the batch. */
internal class Decoder(
    private val slots: Int,
    private val timeScale: TimeScale,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
    private val parts: DecoderParts,
) {
    private val streams = LinkedHashMap<String, DecodeStream>()
    private val waiting = mutableListOf<DecodeStream>()
    private val batch = mutableListOf<DecodeStream>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var nextSequence = 0L

    var usedSlots = 0
        private set

    val waitingStreams: Int get() = waiting.size

    val ids: Set<String> get() = streams.keys

    /** Starts a stream, or moves one in progress to [sink] and repeats its tokens from the wanted position. */
    fun generate(
        order: GenerateOrder,
        sink: TokenSink,
    ) {
        streams[order.id.value]?.let { return reattach(it, order.fromPosition, sink) }
        val stream = DecodeStream(order, nextSequence++)
        stream.sink = sink
        if (parts.imports.take(stream.id)) stream.cachedTokens = stream.promptTokens
        streams[stream.id] = stream
        waiting += stream
        parts.counters.startedStreams++
        admit()
    }

    /** Forgets the connection of a stream, which runs on. */
    fun detach(sink: TokenSink): DecodeStream? {
        val stream = streams.values.find { it.sink === sink } ?: return null
        stream.sink = null
        return stream
    }

    fun cancel(id: String) {
        val stream = streams[id] ?: return
        parts.counters.cancelledStreams++
        stream.writeFailure("cancelled", "the stream was cancelled")
        remove(stream)
    }

    /** Ends all streams; [last] tells their readers. */
    fun endAll(last: (DecodeStream) -> Unit) {
        streams.values.toList().forEach {
            last(it)
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
            // A late step must not be followed by a burst of tokens.
            nextStep = maxOf(nextStep, start.elapsedNow() - MAX_LAG) + stepTime()
            delay(nextStep - start.elapsedNow())
            if (!parts.faults().decodeStalled) batch.toList().forEach(::step)
        }
    }

    private fun stepTime(): Duration {
        val batchMs = timeScale.baseTokenMs + timeScale.tokenMsPerStream * (batch.size - 1)
        val interference = if (parts.prefills.active) timeScale.prefillInterference else 1.0
        return (batchMs * interference * parts.faults().slowFactor).milliseconds
    }

    private fun step(stream: DecodeStream) {
        if (stream !in batch || !holdMemory(stream)) return
        stream.writeToken(stream.position)
        stream.position++
        parts.counters.generatedTokens++
        if (stream.finished) finish(stream)
    }

    private fun holdMemory(stream: DecodeStream): Boolean {
        while (!parts.memory.tryHold(stream.id, stream.promptTokens + stream.position + 1)) {
            val victim = batch.maxWith(compareBy<DecodeStream> { it.order.priority }.thenBy { it.sequence })
            preempt(victim)
            if (victim === stream) return false
        }
        return true
    }

    /** Frees the memory of a stream, which computes its cache anew later. */
    private fun preempt(stream: DecodeStream) {
        parts.counters.preemptedStreams++
        batch -= stream
        usedSlots--
        stream.cachedTokens = null
        waiting += stream
        parts.memory.free(stream.id)
        admit()
    }

    private fun admit() {
        while (usedSlots < slots && waiting.isNotEmpty()) {
            val stream = waiting.minWith(compareBy<DecodeStream> { it.order.priority }.thenBy { it.sequence })
            waiting -= stream
            usedSlots++
            stream.start = scope.launch { start(stream) }
        }
    }

    private suspend fun start(stream: DecodeStream) {
        val needed = stream.promptTokens + stream.position
        if (stream.cachedTokens != needed) {
            parts.prefills.run(stream.id, stream.order.prompt, needed, stream.cachedTokens, stream.order.priority)
        }
        stream.cachedTokens = needed
        stream.start = null
        if (stream.finished) return finish(stream)
        batch += stream
        wakeUps.trySend(Unit)
    }

    private fun reattach(
        stream: DecodeStream,
        fromPosition: Int,
        sink: TokenSink,
    ) {
        parts.counters.reattachedStreams++
        stream.sink?.cut()
        stream.sink = sink
        for (position in fromPosition until stream.position) stream.writeToken(position)
    }

    private fun finish(stream: DecodeStream) {
        parts.counters.finishedStreams++
        stream.writeEnd()
        remove(stream)
    }

    private fun remove(stream: DecodeStream) {
        streams -= stream.id
        if (!waiting.remove(stream)) usedSlots--
        batch -= stream
        stream.start?.cancel()
        stream.sink = null
        parts.memory.free(stream.id)
        admit()
    }

    private companion object {
        val MAX_LAG = 20.milliseconds
    }
}
