package io.knapweedferry.sidecar.server

import kotlinx.coroutines.CompletableDeferred

/**
 * Takes the place of work that was cancelled. Exchanges of one session may be handled out of order, so a message that
 * arrives after the cancellation of its attempt must find this mark.
 */
internal class CancelledAttempt(
    override val key: AttemptKey,
) : Attempt {
    private val beforeSubmission = CompletableDeferred<Boolean>()

    /** Records what the cancellation found. */
    fun complete(removedBeforeSubmission: Boolean) {
        beforeSubmission.complete(removedBeforeSubmission)
    }

    override suspend fun cancel(): Boolean = beforeSubmission.await()
}
