package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Refused
import io.knapweedferry.session.ReplySink

/** Sends and counts the replies for refused requests and failed attempts. */
internal class ErrorReplies(
    private val counters: SidecarCounters,
) {
    suspend fun refuse(
        sink: ReplySink,
        refusal: Refusal,
        load: LoadSummary? = null,
    ) {
        counters.refused(refusal.reason)
        sink.send(Refused(refusal, load))
    }

    /** Returns whether the reply was sent. */
    suspend fun fail(
        sink: ReplySink,
        key: AttemptKey,
        reason: FailureReason,
        detail: String,
        load: LoadSummary? = null,
    ): Boolean {
        counters.attemptFailed(reason)
        return sink.send(AttemptFailed(key.requestId, key.attempt, reason, detail, load))
    }
}
