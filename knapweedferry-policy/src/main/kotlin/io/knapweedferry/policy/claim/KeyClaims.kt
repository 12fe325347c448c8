package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId

/** All claims of one key. */
internal class KeyClaims(
    /** Time of the first claim, on the clock of the log. */
    val firstClaimAtMs: Long,
) {
    private val resolutionById = HashMap<ClaimId, ClaimResolution>()

    var winner: ClaimKeyState.Claimed? = null
        private set

    fun resolution(id: ClaimId): ClaimResolution = resolutionById[id] ?: ClaimResolution.NOT_SEEN

    /** Applies a claim. Only the first of duplicate appends counts; they occur when the response to an append is lost. */
    fun claim(candidate: ClaimKeyState.Claimed) {
        val id = candidate.claim.claimId
        if (id in resolutionById) return
        val wins = winner == null
        resolutionById[id] = if (wins) ClaimResolution.WON else ClaimResolution.LOST
        if (wins) winner = candidate
    }

    /** Applies a void. A void that precedes its claim has no effect. */
    fun void(id: ClaimId) {
        if (id !in resolutionById) return
        resolutionById[id] = ClaimResolution.VOIDED
        if (winner?.claim?.claimId == id) winner = null
    }
}
