package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.policy.admission.Ticket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** An attempt that waits for decode capacity, holds a lease on it or runs a stream. */
internal class DecodeAttempt(
    override val key: AttemptKey,
    val ticket: Ticket,
    val lease: LeaseId,
    val model: ModelName,
    private val onWithdrawn: (DecodeAttempt) -> Unit,
) : Attempt {
    private val phase = AtomicReference(Phase.WAITING)
    private val streamReady = CompletableDeferred<DecodeStream>()
    private val withdrawn = CompletableDeferred<Unit>()

    /** Completes when the attempt ends without a stream. */
    val cancellation: Job get() = withdrawn

    /** Why an attempt without a stream ended. */
    @Volatile
    var endReason: RefusalReason = RefusalReason.LEASE_EXPIRED
        private set

    /** Null until [attach] is called. */
    @Volatile
    var stream: DecodeStream? = null
        private set

    val isRunning: Boolean get() = phase.get() == Phase.RUNNING

    /** Turns granted capacity into a lease; false if the attempt has ended in the meantime. */
    fun grantLease(): Boolean = phase.compareAndSet(Phase.WAITING, Phase.LEASED)

    /** Consumes the lease to start a stream; false if it ended or was already consumed. */
    fun consumeLease(): Boolean = phase.compareAndSet(Phase.LEASED, Phase.RUNNING)

    fun attach(started: DecodeStream) {
        stream = started
        streamReady.complete(started)
    }

    /** Ends an attempt that has no stream; false if it has one or has already ended. */
    fun withdraw(reason: RefusalReason = RefusalReason.LEASE_EXPIRED): Boolean {
        val ended = phase.compareAndSet(Phase.WAITING, Phase.ENDED) || phase.compareAndSet(Phase.LEASED, Phase.ENDED)
        if (!ended) return false
        endReason = reason
        withdrawn.complete(Unit)
        onWithdrawn(this)
        return true
    }

    /** Ends the attempt, or aborts its stream, to free the capacity for more urgent work. */
    suspend fun preempt() {
        if (withdraw(RefusalReason.PREEMPTED) || !isRunning) return
        streamReady.await().abort(FailureReason.PREEMPTED, "preempted by more urgent work")
    }

    override suspend fun cancel(): Boolean {
        if (withdraw() || !isRunning) return true
        val running = streamReady.await()
        running.abort(FailureReason.CANCELLED, "cancelled by the caller")
        running.awaitEnd()
        return false
    }

    private enum class Phase { WAITING, LEASED, RUNNING, ENDED }
}
