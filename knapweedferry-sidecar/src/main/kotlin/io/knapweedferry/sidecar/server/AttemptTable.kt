package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Work of one kind at one endpoint, by attempt. */
internal class AttemptTable(
    private val context: SidecarContext,
) {
    private val attempts = ConcurrentHashMap<AttemptKey, Attempt>()

    val all: Collection<Attempt> get() = attempts.values

    /** Adds work unless its attempt is known; returns the refusal then. */
    fun add(attempt: Attempt): Refusal? {
        val known = attempts.putIfAbsent(attempt.key, attempt) ?: return null
        if (known is CancelledAttempt) return Refusal(RefusalReason.LEASE_EXPIRED, "the attempt was cancelled")
        return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "attempt ${attempt.key.attempt} is known here")
    }

    fun remove(attempt: Attempt) {
        attempts.remove(attempt.key, attempt)
    }

    /** Removes work that is over after the grace period, so that duplicates are recognised until then. */
    fun removeLater(attempt: Attempt) {
        context.scope.launch {
            delay(context.settings.graceMs)
            remove(attempt)
        }
    }

    /** Cancels an attempt and keeps later messages for it out; null if it was not known. */
    suspend fun cancel(key: AttemptKey): Boolean? {
        val cancelled = CancelledAttempt(key)
        val known = attempts.put(key, cancelled)
        removeLater(cancelled)
        val beforeSubmission = known?.cancel()
        cancelled.complete(beforeSubmission ?: false)
        return beforeSubmission
    }
}
