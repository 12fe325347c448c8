package io.knapweedferry.sidecar.server

import io.knapweedferry.api.KvHandle
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** A prefill that is queued, running or has exported its KV cache. */
internal class PrefillAttempt(
    override val key: AttemptKey,
    private val releaseKv: suspend (KvHandle) -> Unit,
) : Attempt {
    private val phase = AtomicReference<Phase>(Phase.Waiting)
    private val cancelled = CompletableDeferred<Unit>()
    private val engineFreed = CompletableDeferred<Unit>()

    /** Completes when the attempt is cancelled. */
    val cancellation: Job get() = cancelled

    /** Marks the prefill as submitted; false if it was cancelled while queued. */
    fun tryMarkSubmitted(): Boolean = phase.compareAndSet(Phase.Waiting, Phase.Submitted)

    /** Records the exported cache; false if the attempt was cancelled, so that the caller must release the cache. */
    fun tryRecordExport(handle: KvHandle): Boolean = phase.compareAndSet(Phase.Submitted, Phase.Exported(handle))

    /** Records that the engine holds nothing for this attempt; [cancel] waits for it. */
    fun markEngineFreed() {
        engineFreed.complete(Unit)
    }

    override suspend fun cancel(): Boolean {
        val found = phase.getAndSet(Phase.Ended)
        cancelled.complete(Unit)
        when (found) {
            is Phase.Waiting -> return true
            is Phase.Submitted -> engineFreed.await()
            is Phase.Exported -> releaseKv(found.handle)
            is Phase.Ended -> Unit
        }
        return false
    }

    private sealed interface Phase {
        data object Waiting : Phase

        data object Submitted : Phase

        data class Exported(
            val handle: KvHandle,
        ) : Phase

        data object Ended : Phase
    }
}
