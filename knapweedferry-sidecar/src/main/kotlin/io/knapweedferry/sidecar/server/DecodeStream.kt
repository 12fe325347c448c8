package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean

/** A stream in the engine that has at most one reader, and goes on for the grace period without one. */
internal class DecodeStream(
    private val context: SidecarContext,
    private val runner: StreamRunner,
    val buffer: StreamBuffer,
    /** Called once when the answer was delivered or nobody came back for it. */
    private val onFinished: () -> Unit,
) {
    private val currentReader = MutableStateFlow(0)
    private val ended = CompletableDeferred<Unit>()
    private val finished = AtomicBoolean()

    /** Runs to the end; [releaseCapacity] gives back what the stream holds, before readers learn of the end. */
    suspend fun run(
        deadlineMs: Long,
        releaseCapacity: suspend (StreamOutcome) -> Unit,
    ) {
        val outcome = runner.run(deadlineMs)
        releaseCapacity(outcome)
        buffer.end(outcome)
        ended.complete(Unit)
    }

    fun abort(
        reason: FailureReason,
        detail: String,
    ) = runner.abort(reason, detail)

    /** Suspends until the stream ended and the engine was told. */
    suspend fun awaitEnd() = ended.await()

    /** Makes the caller the only reader and returns its number. */
    fun attachReader(): Int = currentReader.updateAndGet { it + 1 }

    fun isCurrent(reader: Int): Boolean = currentReader.value == reader

    /** Suspends until another reader took over. */
    suspend fun awaitSuperseded(reader: Int) {
        currentReader.first { it != reader }
    }

    /** Starts the grace period if [reader] left before the end and nobody took over. */
    fun detachReader(
        reader: Int,
        delivered: Boolean,
    ) {
        if (delivered) return finish()
        context.scope.launch {
            delay(context.settings.graceMs)
            if (!isCurrent(reader)) return@launch
            abort(FailureReason.SESSION_LOST, "nobody read the stream for ${context.settings.graceMs} ms")
            awaitEnd()
            finish()
        }
    }

    private fun finish() {
        if (finished.compareAndSet(false, true)) onFinished()
    }
}
