package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.message.ClaimQuery
import io.knapweedferry.api.message.ClaimState
import io.knapweedferry.api.message.ClaimStatus
import io.knapweedferry.session.ReplySink

/** Reports the state of a claim, and voids a claim that was never dispatched. */
internal class ClaimQueryHandler(
    private val context: SidecarContext,
    private val claims: ClaimTable,
    private val voider: ClaimVoider,
) {
    suspend fun handle(
        request: ClaimQuery,
        sink: ReplySink,
    ) {
        sink.send(status(request.claim))
    }

    private suspend fun status(claim: ClaimRef): ClaimStatus {
        if (claim.incarnation != context.settings.incarnation) return ClaimStatus(ClaimState.OTHER_INCARNATION)
        // Refuse before voiding: once the void is in the log, the key may be claimed again, so this claim must not be dispatched.
        return when (val state = claims.refuse(claim)) {
            is ClaimDispatchState.Done -> ClaimStatus(ClaimState.DONE, state.answer)
            is ClaimDispatchState.InProgress -> ClaimStatus(ClaimState.IN_PROGRESS)
            is ClaimDispatchState.Unknown -> ClaimStatus(ClaimState.UNKNOWN)
            is ClaimDispatchState.Refused -> ClaimStatus(if (state.voided || appendVoid(claim)) ClaimState.VOIDED else ClaimState.REFUSED)
        }
    }

    private suspend fun appendVoid(claim: ClaimRef): Boolean {
        if (voider.appendVoid(claim).isLeft()) return false
        claims.recordVoided(claim)
        return true
    }
}
