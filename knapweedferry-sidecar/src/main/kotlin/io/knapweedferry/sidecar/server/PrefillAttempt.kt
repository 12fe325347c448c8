package io.knapweedferry.sidecar.server

import io.knapweedferry.api.KvHandle
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** A prefill that waits, runs or has left an exported cache behind. */
internal class PrefillAttempt(
    override val key: AttemptKey,
    private val releaseKv: suspend (KvHandle) -> Unit,
) : Attempt {
    private val phase = AtomicReference<Phase>(Phase.Waiting)
    private val cancelled = CompletableDeferred<Unit>()
    private val engineFreed = CompletableDeferred<Unit>()

    /** Completes when the work is cancelled before its cache is exported. */
    val cancellation: Job get() = cancelled

    /** False if the work was cancelled while it waited. */
    fun submit(): Boolean = phase.compareAndSet(Phase.Waiting, Phase.Submitted)

    /** Records the exported cache; false if the work was cancelled, and the cache must be dropped. */
    fun export(handle: KvHandle): Boolean = phase.compareAndSet(Phase.Submitted, Phase.Exported(handle))

    /** The engine holds nothing for this work any more. */
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
