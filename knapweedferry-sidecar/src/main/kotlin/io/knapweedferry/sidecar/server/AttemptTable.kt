package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Attempts of one work kind at one endpoint. */
internal class AttemptTable(
    private val context: SidecarContext,
) {
    private val attempts = ConcurrentHashMap<AttemptKey, Attempt>()

    val all: Collection<Attempt> get() = attempts.values

    /** Adds an attempt; returns the refusal if its key is already present. */
    fun add(attempt: Attempt): Refusal? {
        val known = attempts.putIfAbsent(attempt.key, attempt) ?: return null
        if (known is CancelledAttempt) return Refusal(RefusalReason.LEASE_EXPIRED, "the attempt was cancelled")
        return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "attempt ${attempt.key.attempt} was already received")
    }

    fun remove(attempt: Attempt) {
        attempts.remove(attempt.key, attempt)
    }

    /** Removes a finished attempt after the grace period, so that duplicates are recognised until then. */
    fun removeLater(attempt: Attempt) {
        context.scope.launch {
            delay(context.settings.graceMs)
            remove(attempt)
        }
    }

    /** Cancels an attempt and blocks later messages for it; null if the attempt was not present. */
    suspend fun cancel(key: AttemptKey): Boolean? {
        val cancelled = CancelledAttempt(key)
        val known = attempts.put(key, cancelled)
        removeLater(cancelled)
        val beforeSubmission = known?.cancel()
        cancelled.complete(beforeSubmission ?: false)
        return beforeSubmission
    }
}
