package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.message.Cancel
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.call
import io.knapweedferry.session.SessionClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Notifies sidecars asynchronously that an attempt was abandoned, so that they release its leases and KV cache. */
internal class CancelNotifier(
    private val scope: CoroutineScope,
    private val sessions: SessionClient,
) {
    fun cancel(attempt: ModelAttempt) {
        attempt.involvedMembers.forEach { member -> scope.launch { sessions.call(member.address, request(attempt, member)) } }
    }

    private fun request(
        attempt: ModelAttempt,
        member: FleetMember,
    ) = Cancel(attempt.job.requestId, attempt.job.organisation, attempt.number, member.endpoint)
}
