package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Attempts of one type (decode, prefill or service call) at one endpoint. */
internal class AttemptTable(
    private val context: SidecarContext,
) {
    private val attempts = ConcurrentHashMap<AttemptKey, Attempt>()

    val all: Collection<Attempt> get() = attempts.values

    /** Adds an attempt; returns the refusal if its key is already present. */
    fun add(attempt: Attempt): Refusal? {
        val existing = attempts.putIfAbsent(attempt.key, attempt) ?: return null
        if (existing is CancelledAttempt) return Refusal(RefusalReason.LEASE_EXPIRED, "the attempt was cancelled")
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

    /** Cancels an attempt as [Attempt.cancel] does and blocks later messages for it; null if the attempt was not present. */
    suspend fun cancel(key: AttemptKey): Boolean? {
        val cancelled = CancelledAttempt(key)
        val existing = attempts.put(key, cancelled)
        removeLater(cancelled)
        val beforeSubmission = existing?.cancel()
        cancelled.complete(beforeSubmission ?: false)
        return beforeSubmission
    }
}
