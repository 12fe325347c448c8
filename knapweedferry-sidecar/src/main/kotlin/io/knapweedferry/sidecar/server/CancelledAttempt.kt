package io.knapweedferry.sidecar.server

import kotlinx.coroutines.CompletableDeferred

/**
 * Tombstone of a cancelled attempt. Exchanges of one session may be handled out of order, so a message that is handled
 * after the cancellation of its attempt must be rejected.
 */
internal class CancelledAttempt(
    override val key: AttemptKey,
) : Attempt {
    private val beforeSubmission = CompletableDeferred<Boolean>()

    /** Records the result of the cancellation for callers that cancel the same attempt again. */
    fun complete(removedBeforeSubmission: Boolean) {
        beforeSubmission.complete(removedBeforeSubmission)
    }

    override suspend fun cancel(): Boolean = beforeSubmission.await()
}
