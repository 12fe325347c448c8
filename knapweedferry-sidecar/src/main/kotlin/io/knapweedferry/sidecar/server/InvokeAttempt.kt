package io.knapweedferry.sidecar.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** A service call that waits or runs. */
internal class InvokeAttempt(
    override val key: AttemptKey,
    /** Called when the work is cancelled before submission, so that its claim is never dispatched. */
    private val onWithdrawn: () -> Unit,
) : Attempt {
    private val phase = AtomicReference(Phase.WAITING)
    private val cancelled = CompletableDeferred<Unit>()

    /** Completes when the work is cancelled. */
    val cancellation: Job get() = cancelled

    /** False if the work was cancelled while it waited. */
    fun submit(): Boolean = phase.compareAndSet(Phase.WAITING, Phase.SUBMITTED)

    override suspend fun cancel(): Boolean {
        val withdrawn = phase.compareAndSet(Phase.WAITING, Phase.CANCELLED)
        if (withdrawn) onWithdrawn()
        cancelled.complete(Unit)
        return withdrawn || phase.get() == Phase.CANCELLED
    }

    private enum class Phase { WAITING, SUBMITTED, CANCELLED }
}
