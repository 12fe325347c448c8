package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean

/** A token stream with at most one reader. It keeps running without a reader for the grace period. */
internal class DecodeStream(
    private val context: SidecarContext,
    private val runner: StreamRunner,
    val buffer: StreamBuffer,
    /** Called once, when the answer was delivered or the grace period ended without a reader. */
    private val onFinished: () -> Unit,
) {
    private val currentReader = MutableStateFlow(0)
    private val ended = CompletableDeferred<Unit>()
    private val finished = AtomicBoolean()

    /** Runs to the end; [releaseCapacity] is called before readers see the end. */
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

    /** Suspends until the stream has ended and its capacity was released or the engine was asked to cancel it. */
    suspend fun awaitEnd() = ended.await()

    /** Makes the caller the current reader, superseding any other; returns its reader number. */
    fun attachReader(): Int = currentReader.updateAndGet { it + 1 }

    fun isCurrent(reader: Int): Boolean = currentReader.value == reader

    /** Suspends until another reader supersedes [reader]. */
    suspend fun awaitSuperseded(reader: Int) {
        currentReader.first { it != reader }
    }

    /** Ends the stream if its answer was [delivered]; otherwise aborts it after the grace period unless [reader] was superseded. */
    fun detachReader(
        reader: Int,
        delivered: Boolean,
    ) {
        if (delivered) return finish()
        context.scope.launch {
            delay(context.settings.graceMs)
            if (!isCurrent(reader)) return@launch
            abort(FailureReason.SESSION_LOST, "the stream had no reader for ${context.settings.graceMs} ms")
            awaitEnd()
            finish()
        }
    }

    private fun finish() {
        if (finished.compareAndSet(false, true)) onFinished()
    }
}
