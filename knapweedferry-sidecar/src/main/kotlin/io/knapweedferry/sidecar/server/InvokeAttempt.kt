package io.knapweedferry.sidecar.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** A queued or running service call. */
internal class InvokeAttempt(
    override val key: AttemptKey,
    /** Called on cancellation before submission; must ensure that the claim is never dispatched. */
    private val onWithdrawn: () -> Unit,
) : Attempt {
    private val phase = AtomicReference(Phase.WAITING)
    private val cancelled = CompletableDeferred<Unit>()

    val cancellation: Job get() = cancelled

    /** Marks the call as submitted; false if it was cancelled while queued. */
    fun tryMarkSubmitted(): Boolean = phase.compareAndSet(Phase.WAITING, Phase.SUBMITTED)

    override suspend fun cancel(): Boolean {
        val withdrawn = phase.compareAndSet(Phase.WAITING, Phase.CANCELLED)
        if (withdrawn) onWithdrawn()
        cancelled.complete(Unit)
        return withdrawn || phase.get() == Phase.CANCELLED
    }

    private enum class Phase { WAITING, SUBMITTED, CANCELLED }
}
