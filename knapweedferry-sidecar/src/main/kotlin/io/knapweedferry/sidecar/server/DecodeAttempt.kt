package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.policy.admission.Ticket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** Decode capacity that is waited for, leased or used by one attempt of a request. */
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

    /** Completes when the work ends without a stream. */
    val cancellation: Job get() = withdrawn

    /** Why work without a stream ended. */
    @Volatile
    var endReason: RefusalReason = RefusalReason.LEASE_EXPIRED
        private set

    /** The stream, once there is one. */
    @Volatile
    var stream: DecodeStream? = null
        private set

    val isRunning: Boolean get() = phase.get() == Phase.RUNNING

    /** Turns granted capacity into a lease; false if the work ended meanwhile. */
    fun grantLease(): Boolean = phase.compareAndSet(Phase.WAITING, Phase.LEASED)

    /** Uses the lease; false if it ended or was used before. */
    fun consumeLease(): Boolean = phase.compareAndSet(Phase.LEASED, Phase.RUNNING)

    fun attach(started: DecodeStream) {
        stream = started
        streamReady.complete(started)
    }

    /** Ends work that has no stream; false if it has one or ended before. */
    fun withdraw(reason: RefusalReason = RefusalReason.LEASE_EXPIRED): Boolean {
        val ended = phase.compareAndSet(Phase.WAITING, Phase.ENDED) || phase.compareAndSet(Phase.LEASED, Phase.ENDED)
        if (!ended) return false
        endReason = reason
        withdrawn.complete(Unit)
        onWithdrawn(this)
        return true
    }

    /** Gives the capacity to more urgent work. */
    suspend fun preempt() {
        if (withdraw(RefusalReason.PREEMPTED) || !isRunning) return
        streamReady.await().abort(FailureReason.PREEMPTED, "more urgent work took the place")
    }

    override suspend fun cancel(): Boolean {
        if (withdraw() || !isRunning) return true
        val running = streamReady.await()
        running.abort(FailureReason.CANCELLED, "cancelled by its caller")
        running.awaitEnd()
        return false
    }

    private enum class Phase { WAITING, LEASED, RUNNING, ENDED }
}
